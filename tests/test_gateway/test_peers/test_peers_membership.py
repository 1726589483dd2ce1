"""Who is known of the other instances, and who is gone."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.gateway.peers.membership import (
    DEAD_AFTER_MS,
    INSTANCES_TABLE,
    ROW_EXPIRY_MS,
    Heartbeat,
    Membership,
)
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.storage.partitioned_table import Listing, PartTransaction, RowPut
from tests.support.flaky_table import FlakyTable
from tests.support.manual_clock import ManualClock, manual_context

PEER = InstanceId('instance-9')


class Watcher:
    """One instance with one peer."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.table = FlakyTable()
        self.live = InstanceLiveness(context)
        self.membership = Membership(context, 'life', ('ip', 1), self.table, self.live)
        self.number = 0

    def peer_beats(self) -> None:
        self.number += 1
        heartbeat = Heartbeat('a', '10.0.0.9', 1, AvailabilityZone('zone-a'), self.number)
        put = RowPut(INSTANCES_TABLE, PEER, msgspec.json.encode(heartbeat))
        self.table.transact(PartTransaction('', puts=(put,)))

    def look(self) -> None:
        self.live.record_own_heartbeat()
        page = self.table.read(INSTANCES_TABLE, '')
        assert isinstance(page, Listing)
        self.membership.on_listing(list(page.rows), page.version)

    def watch(self, length_ms: float, *, peer_beats: bool) -> None:
        until_ms = self.clock.ms + length_ms
        while self.clock.ms < until_ms:
            self.clock.ms += 1_000.0
            if peer_beats:
                self.peer_beats()
            self.look()


def test_machine_that_is_gone_for_good_is_forgotten_with_its_row() -> None:
    # A machine is removed without a word; its row stays. Calls by way of a peer must not try it
    # on and on, and the table must not grow with each machine that is replaced.
    watcher = Watcher()
    watcher.peer_beats()
    watcher.look()
    assert PEER in watcher.membership.peers
    watcher.watch(DEAD_AFTER_MS + 2_000.0, peer_beats=False)
    assert PEER not in watcher.membership.peers
    watcher.watch(ROW_EXPIRY_MS, peer_beats=False)
    page = watcher.table.read(INSTANCES_TABLE, '')
    assert isinstance(page, Listing)
    assert not page.rows


def test_peer_that_beats_stays_and_one_that_comes_back_is_known_again() -> None:
    watcher = Watcher()
    watcher.watch(DEAD_AFTER_MS * 2, peer_beats=True)
    assert PEER in watcher.membership.peers
    watcher.watch(DEAD_AFTER_MS * 2, peer_beats=False)
    assert PEER not in watcher.membership.peers
    watcher.watch(2_000.0, peer_beats=True)
    assert PEER in watcher.membership.peers


def test_peers_are_kept_while_nobody_can_write_heartbeats() -> None:
    # The store is down for 20 s. Peers are needed more than ever, for counts and configuration.
    watcher = Watcher()
    watcher.watch(5_000.0, peer_beats=True)
    watcher.clock.ms += 20_000.0
    watcher.look()
    assert PEER in watcher.membership.peers
