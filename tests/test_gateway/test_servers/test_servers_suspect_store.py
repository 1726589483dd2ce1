"""Tests that a probe is granted once in the whole fleet, whatever faults the store has."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.probe_policy import FIRST_PROBE_PAUSE_MS, ONLINE_PROBES
from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.crashes.suspect_key import RequestKeys, content_key
from citrondyke.decisions.crashes.suspect_registry import (
    SuspectRegistry,
    SuspectStatus,
)
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.servers.suspect_store import ATTEMPTS_LIMIT, UNRESPONSIVE_MS, SuspectStore
from citrondyke.gateway.tasks import Tasks
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartConflict,
    PartTransaction,
    RowPut,
)
from tests.support.flaky_table import FlakyTable, Trouble
from tests.support.gateway import HOST, GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context

CULPRIT = content_key(b'POST', b'h', b'/p/', b'culprit')


class Member:
    """Suspect registry and store of one instance."""

    def __init__(self, clock: ManualClock, table: FlakyTable, name: str) -> None:
        context = manual_context(clock, name)
        self.suspects = SuspectRegistry(context)
        self.dependency = Dependency(clock, 'store')
        self.store = SuspectStore(context, table, self.dependency, self.suspects, lambda: 1.0)
        for server in (1, 2, 3):
            self.suspects.record_server_exit(CULPRIT, server, is_fresh=True)

    def claim(self) -> bool:
        return self.store.claim_probe(CULPRIT, ONLINE_PROBES)


class StoreWorld:
    """Three instances that know of the same server exits."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = FlakyTable()
        self.members = [Member(self.clock, self.table, f'instance-{n}') for n in range(3)]
        self.clock.ms += FIRST_PROBE_PAUSE_MS


@pytest.fixture
def world() -> StoreWorld:
    return StoreWorld()


def test_one_instance_gets_the_probe(world: StoreWorld) -> None:
    assert [member.claim() for member in world.members] == [True, False, False]
    for member in world.members:
        assert member.suspects.status_of(CULPRIT) is SuspectStatus.PROBE_RUNNING


@pytest.mark.parametrize('trouble', [Trouble.REFUSED, Trouble.LATE, Trouble.REPLY_LOST])
def test_probe_with_an_uncertain_claim_is_not_sent(world: StoreWorld, trouble: Trouble) -> None:
    # The reply to the claim is lost, or the claim is applied late. An instance that is not sure of
    # its claim does not send; the next one gets the probe only if it was not granted before.
    first, second, third = world.members
    world.table.trouble = trouble
    assert not first.claim()
    granted = [second.claim()]
    world.table.apply_late()
    granted.append(third.claim())
    assert sum(granted) == (0 if trouble is Trouble.REPLY_LOST else 1)


def test_call_that_reached_the_store_twice_counts_once(world: StoreWorld) -> None:
    # The call reached the store directly and through a peer; the reply is the conflict of the
    # second one.
    member = world.members[0]
    world.table.trouble = Trouble.TWICE
    assert member.claim()


def test_no_probe_while_the_store_is_unresponsive(world: StoreWorld) -> None:
    member = world.members[0]
    member.dependency.record_call()
    world.clock.ms += UNRESPONSIVE_MS + 1.0
    assert not member.claim()


def test_unreadable_row_is_overwritten_by_a_claim(world: StoreWorld) -> None:
    member = world.members[0]
    for value in (b'nothing', b'{"digest": 1}'):
        put = RowPut('suspects', str(CULPRIT.digest), value)
        world.table.transact(PartTransaction('', puts=(put,)))
        assert member.claim()
        world.members[0] = member = Member(world.clock, world.table, 'again')
        world.clock.ms += FIRST_PROBE_PAUSE_MS


def test_instance_that_missed_all_updates_reads_the_row(world: StoreWorld) -> None:
    # An instance was partitioned while others saw three servers exit, and its feed is dead. At the
    # first exit that it sees itself it reads the row, instead of crashing three more servers.
    first, missed = world.members[0], SuspectRegistry(manual_context(world.clock, 'missed'))
    assert first.claim()
    store = SuspectStore(
        manual_context(world.clock, 'missed'),
        world.table,
        Dependency(world.clock, 'store'),
        missed,
        lambda: 1.0,
    )
    missed.record_server_exit(CULPRIT, 4, is_fresh=True)
    store.read_row(other := content_key(b'POST', b'h', b'/p/', b'other'))
    assert missed.score(other) == 0.0
    assert missed.score(CULPRIT) == 1.0
    store.read_row(CULPRIT)
    assert missed.score(CULPRIT) == 4.0


def test_row_seen_after_a_success_is_cleared_too(fleet: GatewayFleet) -> None:
    # A request succeeds at an instance that has not seen its row yet. If the row stayed, it would
    # stop the request after a restart of all instances.
    work = RequestKeys(b'POST', HOST, b'/fetch/a', b'well')
    content = work.content
    first, second = fleet.instances
    second.peers.stop()
    second.suspects.record_server_exit(content, 1, is_fresh=True)
    second.guard.record_survived(work)
    for server in (1, 2, 3):
        first.suspects.record_server_exit(content, server, is_fresh=True)
    first.suspect_store.save(content)
    wait_until_seen(lambda: not first.suspects.score(content), 'the row to be cleared')


def test_row_is_written_once_the_store_is_back(fleet: GatewayFleet) -> None:
    # Three servers exit while the store rejects all calls. Once it is back the row must be written,
    # or the request would be sent again after a power loss of all instances.
    content = content_key(b'POST', HOST.encode(), b'/fetch/a', b'deadly')
    (first, other), faults = fleet.instances, fleet.store.faults
    faults.refused_ips = {'*'}
    for server in (1, 2, 3):
        first.suspects.record_server_exit(content, server, is_fresh=True)
    first.suspect_store.save(content)
    wait_until_seen(lambda: first.suspect_store.failed_count > ATTEMPTS_LIMIT, 'failed attempts')
    faults.refused_ips = set()
    other.peers.stop()
    wait_until_seen(lambda: other.suspects.score(content) == 3.0, 'the row')


def test_row_that_raises_hides_no_other_suspect(
    world: StoreWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A restarted instance would know no suspects, and requests would crash servers again.
    other = content_key(b'POST', b'h', b'/p/', b'other')
    writer = world.members[0]
    for server in (1, 2, 3):
        writer.suspects.record_server_exit(other, server, is_fresh=True)
    for key in (CULPRIT, other):
        assert writer.store._write(key)
    context = manual_context(world.clock, 'reader')
    known = SuspectRegistry(context)
    reader = SuspectStore(
        context, world.table, Dependency(world.clock, 'store'), known, lambda: 1.0
    )
    first = min(CULPRIT.digest, other.digest)
    merge = known.merge

    def merge_or_raise(row: SuspectRow) -> bool:
        if row.digest == first:
            raise ZeroDivisionError
        return merge(row)

    monkeypatch.setattr(known, 'merge', merge_or_raise)
    assert reader._reread()
    assert sum(known.score(key) > 0.0 for key in (CULPRIT, other)) == 1
    assert reader.unreadable.count == 1


def test_write_that_raises_is_retried(world: StoreWorld, monkeypatch: pytest.MonkeyPatch) -> None:
    # The suspect was taken from the queue before its row was written, so that the row was never
    # written, and a restart of all instances would forget the suspect.
    monkeypatch.setattr('citrondyke.gateway.servers.suspect_store.RETRY_MS', 1.0)
    member = world.members[0]
    transact = world.table.transact
    calls: list[PartTransaction] = []

    def transact_or_raise(transaction: PartTransaction) -> PartCommitted | PartConflict:
        calls.append(transaction)
        if len(calls) == 1:
            raise ZeroDivisionError
        return transact(transaction)

    monkeypatch.setattr(world.table, 'transact', transact_or_raise)
    tasks = Tasks()
    tasks.supervise(member.store._run_writes)
    member.store.save(CULPRIT)
    wait_until_seen(lambda: len(calls) > 1, 'the second write')
    tasks.end()
    assert world.table.read('suspects', '').rows  # type: ignore[union-attr]
