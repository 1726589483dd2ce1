"""Which peers are known, and when dead ones are dropped."""

from __future__ import annotations

import gevent
import msgspec

from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.decisions.forwarding.peer_topology import PeerTopology
from citrondyke.gateway.peers.membership import (
    INSTANCES_TABLE,
    PEER_EXPIRY_MS,
    ROW_EXPIRY_MS,
    Heartbeat,
    Membership,
)
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.storage.partitioned_table import Listing, PartRow, PartTransaction, RowPut
from tests.support.flaky_table import FlakyTable
from tests.support.manual_clock import ManualClock, manual_context

PEER = InstanceId('instance-9')


class ObservingInstance:
    """An instance with one peer, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.table = FlakyTable()
        self.live = InstanceLiveness(context)
        self.topology = PeerTopology(context)
        self.membership = Membership(
            context, 'life', ('10.0.0.1', 1), self.table, self.live, self.topology.replace
        )
        self.number = 0

    def peer_heartbeats(self, list_bytes: int = 0, zone: str = 'zone-a') -> None:
        self.number += 1
        heartbeat = Heartbeat('a', '10.0.0.9', 1, AvailabilityZone(zone), self.number, list_bytes)
        put = RowPut(INSTANCES_TABLE, PEER, msgspec.json.encode(heartbeat))
        self.table.transact(PartTransaction('', puts=(put,)))

    def read_table(self) -> None:
        self.live.record_own_heartbeat()
        page = self.table.read(INSTANCES_TABLE, '')
        assert isinstance(page, Listing)
        self.membership.on_listing(list(page.rows), page.version)

    def advance(self, duration_ms: float, *, peer_heartbeats: bool) -> None:
        until_ms = self.clock.ms + duration_ms
        while self.clock.ms < until_ms:
            self.clock.ms += 1_000.0
            if peer_heartbeats:
                self.peer_heartbeats()
            self.read_table()


def own_rows(instance: ObservingInstance) -> list[Heartbeat]:
    page = instance.table.read(INSTANCES_TABLE, '')
    assert isinstance(page, Listing)
    return [
        msgspec.json.decode(row.value or b'', type=Heartbeat)
        for row in page.rows
        if row.key != PEER
    ]


def test_first_heartbeat_repeats_the_size_of_the_list() -> None:
    # All instances start at once. A row that is written before the others are read states no size;
    # the last instance would find only such rows and read a large list itself.
    instance = ObservingInstance()
    instance.peer_heartbeats(list_bytes=1_300_000)
    tasks = Tasks()
    instance.membership.start(tasks)
    gevent.sleep(0.05)
    assert own_rows(instance) == []
    instance.read_table()
    gevent.sleep(0.05)
    assert [row.list_bytes for row in own_rows(instance)] == [1_300_000]
    instance.membership.list_bytes = 1_200_000
    assert instance.membership.own_heartbeat().list_bytes == 1_200_000
    tasks.end()


def test_dead_peer_is_dropped_and_its_row_removed() -> None:
    # The row of a machine that is removed without a shutdown stays in the table. Relayed store
    # calls must not try that machine forever, and the table must not grow with each replacement.
    instance = ObservingInstance()
    instance.peer_heartbeats()
    instance.read_table()
    assert PEER in instance.membership.peers
    instance.advance(PEER_EXPIRY_MS + 2_000.0, peer_heartbeats=False)
    assert PEER not in instance.membership.peers
    assert instance.topology.all_peers() == []
    instance.advance(ROW_EXPIRY_MS, peer_heartbeats=False)
    page = instance.table.read(INSTANCES_TABLE, '')
    assert isinstance(page, Listing)
    assert not page.rows


def test_peer_with_heartbeats_is_kept_and_a_returning_one_is_added_again() -> None:
    instance = ObservingInstance()
    instance.advance(PEER_EXPIRY_MS * 2, peer_heartbeats=True)
    assert PEER in instance.membership.peers
    instance.advance(PEER_EXPIRY_MS * 2, peer_heartbeats=False)
    assert PEER not in instance.membership.peers
    instance.advance(2_000.0, peer_heartbeats=True)
    assert PEER in instance.membership.peers


def test_messages_to_all_peers_follow_the_membership_at_once() -> None:
    instance = ObservingInstance()
    instance.peer_heartbeats()
    instance.read_table()
    assert instance.topology.all_peers() == [PEER]
    instance.peer_heartbeats(zone='zone-b')
    instance.read_table()
    assert instance.topology.zone_of(PEER) == 'zone-b'
    instance.membership.on_rows([PartRow(INSTANCES_TABLE, '', PEER, 3, None)])
    assert instance.topology.all_peers() == []
    heartbeat = Heartbeat('a', '10.0.0.9', 1, AvailabilityZone('zone-a'), 1)
    instance.membership.merge_from_peer({PEER: heartbeat})
    assert instance.topology.all_peers() == [PEER]


def test_peers_are_kept_while_no_instance_can_write_heartbeats() -> None:
    # The store is down for 20 s. During the outage peers are the only source of request counts and
    # of the configuration.
    instance = ObservingInstance()
    instance.advance(5_000.0, peer_heartbeats=True)
    instance.clock.ms += 20_000.0
    instance.read_table()
    assert PEER in instance.membership.peers
