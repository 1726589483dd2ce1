"""A message or a row of one instance that raises costs the others nothing."""

from __future__ import annotations

from typing import NoReturn

import msgspec
import pytest

from citrondyke.decisions.accounts.limit_messages import UseAsked
from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.forwarding.peer_topology import PeerTopology
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.membership import INSTANCES_TABLE, Heartbeat, Membership
from citrondyke.gateway.peers.peer_codec import KnowledgeWanted, LoadNotice
from citrondyke.gateway.peers.store_state_exchange import StoreState
from citrondyke.ids import AvailabilityZone, ConfigVersion, InstanceId, JobId, TenantId
from citrondyke.storage.partitioned_table import PartRow
from citrondyke.util.decoding import decode_msgpack
from tests.support.flaky_table import FlakyTable
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import manual_context


def _raise(*_: object) -> NoReturn:
    raise ZeroDivisionError


def test_datagram_that_raises_does_not_end_the_receiver(fleet: GatewayFleet) -> None:
    # The receiver would be restarted after 0.3 s, and the counts that arrive meanwhile be late.
    sender, receiver = fleet.instances
    seen: list[JobId] = []
    receiver.peers._on_job = lambda job_id: _raise() if job_id == 'odd' else seen.append(job_id)
    before = receiver._tasks.failures.count
    for name in ('odd', 'sound'):
        sender.peers.notify_job_changed(JobId(name), receiver.context.instance_id)
    wait_until_seen(lambda: seen, 'the second message')
    assert receiver._tasks.failures.count == before
    assert 'citrondyke_peer_messages_failed_total 1\n' in receiver.metrics.text()


def test_message_that_cannot_be_encoded_loses_no_other(fleet: GatewayFleet) -> None:
    # The publishers of counts, suspects and outcomes take what is due from their queues first.
    sender, receiver = fleet.instances
    odd = LoadNotice([ServerLoad(-1, 0, 0)])
    sender.peers.send(odd, [receiver.context.instance_id])
    assert 'citrondyke_peer_messages_failed_total 1\n' in sender.metrics.text()


def test_choice_of_a_server_does_not_fail_with_a_datagram(fleet: GatewayFleet) -> None:
    # In a large fleet messages are read before each choice, in the task of a caller's request: its
    # connection would be closed without a response.
    sender, receiver = fleet.instances
    receiver.peers._batch_window_ms = lambda: 5.0
    receiver.peers._on_job = _raise
    for _ in range(3):
        sender.peers.notify_job_changed(JobId('odd'), receiver.context.instance_id)
    receiver.peers.receive_pending()
    assert receiver.peers._receiver is not None
    receiver.peers._receiver.close()
    receiver.peers.receive_pending()


def test_limit_message_that_raises_does_not_end_the_receiver(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sender, receiver = fleet.instances
    monkeypatch.setattr(receiver.limits._limits, 'on_message', _raise)
    before = receiver._tasks.failures.count
    assert sender.limits._send(receiver.context.instance_id, UseAsked(1, TenantId('account')))
    wait_until_seen(
        lambda: 'citrondyke_limit_messages_failed_total 1\n' in receiver.metrics.text(), 'the count'
    )
    assert receiver._tasks.failures.count == before


def test_part_of_a_peers_state_that_fails_costs_only_itself(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # During an upgrade an instance of an earlier version hands on a configuration that this one
    # cannot read; its server list is still the only one while the store is away.
    answering, asking = fleet.instances
    data = answering.peers.store_state.answer(KnowledgeWanted(1), ConfigVersion(0))
    state = decode_msgpack(data.data, StoreState)
    state = msgspec.structs.replace(state, table=None, config=b'{"version":"x"}')
    merged: list[int] = []
    monkeypatch.setattr(
        asking.replicated, 'merge_servers', lambda rows, *_, **__: merged.append(len(rows))
    )
    try:
        asking.peers.store_state._merge('10.0.0.1', ConfigVersion(9), state)
    except UnreadableBytesError:
        pytest.fail('the configuration kept the rest away')
    assert merged == [len(fleet.servers)]


def test_heartbeat_that_raises_hides_no_other_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    # While the listing fails no instance counts as dead, so that jobs are not taken over.
    context = manual_context()
    live = InstanceLiveness(context)
    topology = PeerTopology(context)
    membership = Membership(context, 'life', ('10.0.0.1', 1), FlakyTable(), live, topology.replace)
    record_row = live.record_row

    def record(instance_id: InstanceId, life: str, version: int) -> bool:
        return _raise() if instance_id == 'odd' else record_row(instance_id, life, version)

    monkeypatch.setattr(live, 'record_row', record)
    beat = Heartbeat('a', '10.0.0.9', 1, AvailabilityZone('zone-a'), 1)
    rows = [
        PartRow(INSTANCES_TABLE, '', name, 1, msgspec.json.encode(beat)) for name in ('odd', 'peer')
    ]
    membership.on_listing(rows, 1)
    assert set(membership.peers) == {'peer'} == set(topology.all_peers())
    assert membership.is_known
    assert membership.unreadable.count == 1
