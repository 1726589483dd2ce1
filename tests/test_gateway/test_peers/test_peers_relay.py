"""The store rejects calls of one instance, whose store calls are relayed by a peer."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.gateway.peers.relayed_table import (
    CLOCK_READ_MS,
    ReadCall,
    RelayedTable,
    StoreAnswer,
    StoreCall,
    perform,
)
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.tasks import Tasks
from citrondyke.standin.part_table import PartTable
from citrondyke.storage.failure import AMBIGUOUS, PlatformFailure, PlatformFailureReason
from citrondyke.storage.partitioned_table import (
    Listing,
    PartCommitted,
    PartConflict,
    PartTransaction,
    RowCondition,
    RowPut,
)
from citrondyke.util.clock import Clock, SystemClock
from tests.support.gateway import GatewayFleet
from tests.support.manual_clock import ManualClock, manual_context


def reject(fleet: GatewayFleet, at: int) -> None:
    fleet.store.faults.refused_ips = {fleet.instances[at].address.ip}


def test_job_is_accepted_and_run_by_an_instance_that_the_store_rejects(
    fleet: GatewayFleet,
) -> None:
    # The store rejects the instance that the caller reached. It still answers 202, since a peer
    # makes the job durable for it, and it runs the items.
    reject(fleet, 1)
    assert fleet.submit('job-1', at=1).status == 202
    assert len(fleet.wait_done('job-1', at=1)) == 3
    assert len(fleet.wait_done('job-1', at=0)) == 3


def test_job_is_accepted_while_the_store_does_not_answer_its_instance(fleet: GatewayFleet) -> None:
    reject(fleet, 1)
    fleet.store.faults.is_silent = True
    assert fleet.submit('job-1', at=1).status == 202
    assert len(fleet.wait_done('job-1', at=0)) == 3


def test_job_of_another_instance_is_read_and_cancelled_through_a_rejected_one(
    fleet: GatewayFleet,
) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 300.0
    assert fleet.submit('job-1', at=0).status == 202
    reject(fleet, 1)
    assert fleet.results('job-1', at=1)['total'] == 3
    body = fleet.call('/-/items/job-1?id=job-1-0', b'', at=1, method='GET')
    assert body.body == b'item 0'
    assert fleet.call('/-/lots/job-1', b'', at=1, method='DELETE').status == 200


def test_rejected_owner_keeps_its_job(fleet: GatewayFleet) -> None:
    # The owner cannot write its heartbeats directly for longer than the time after which it counts
    # as dead. A peer relays them, so that no instance takes the job over and no item runs twice.
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 700.0
    assert fleet.submit('job-1', 2, at=1).status == 202
    reject(fleet, 1)
    gevent.sleep(3.8)
    assert 'job-1' in fleet.instances[1].batch.owned.by_id
    fleet.wait_done('job-1', at=0)
    ran = [run.request_id for server in fleet.servers.values() for run in server.runs]
    assert sorted(ran) == ['job-1-0', 'job-1-1']


class _DirectTable(PartTable):
    """A store with a configurable failure and delay."""

    def __init__(self, failure: PlatformFailure | None, wait_s: float = 0.0) -> None:
        super().__init__()
        self.failure = failure
        self.wait_s = wait_s

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        gevent.sleep(self.wait_s)
        return self.failure or super().read(table, part, from_key, limit)

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        answer = super().transact(transaction)
        gevent.sleep(self.wait_s)
        return answer if self.failure is None else self.failure  # type: ignore[return-value]


def relayed(
    direct: PartTable,
    relay: Callable[[StoreCall], StoreAnswer],
    clock: Clock | None = None,
    store_clock: StoreClock | None = None,
) -> RelayedTable:
    clock = clock or SystemClock()
    store_clock = store_clock or StoreClock(manual_context())
    return RelayedTable(clock, direct, relay, Dependency(clock, 'store'), store_clock, Tasks())


def no_peer(_: StoreCall) -> StoreAnswer:
    return StoreAnswer(failure=PlatformFailureReason.UNAVAILABLE)


def test_calls_are_not_relayed_while_the_store_answers() -> None:
    relayed_calls: list[StoreCall] = []

    def relay(call: StoreCall) -> StoreAnswer:
        relayed_calls.append(call)
        return no_peer(call)

    table = relayed(_DirectTable(None), relay)
    assert isinstance(table.read('t', 'p'), Listing)
    assert not relayed_calls


def test_slow_direct_call_is_hedged_by_a_peer() -> None:
    table = relayed(_DirectTable(None, wait_s=20.0), lambda call: perform(PartTable(), call))
    assert isinstance(table.read('t', 'p'), Listing)


@pytest.mark.parametrize('failure', [AMBIGUOUS, PlatformFailure(PlatformFailureReason.UNAVAILABLE)])
def test_uncertain_outcome_stays_uncertain_if_the_peer_is_rejected(
    failure: PlatformFailure,
) -> None:
    # The direct call may have been applied. A rejected relayed call must not turn the result into
    # "not written", which a caller would receive as "not run".
    table = relayed(_DirectTable(failure), no_peer)
    answer = table.transact(PartTransaction('p', puts=(RowPut('t', 'k', b'v'),)))
    assert isinstance(answer, PlatformFailure)
    assert answer.reason is failure.reason


def test_transaction_sent_both_ways_returns_its_own_rows_as_conflict() -> None:
    # The direct reply is lost after the write, and the relayed attempt conflicts with the written
    # rows. From these rows the caller recognizes its own write.
    store = _DirectTable(AMBIGUOUS)
    transact = PartTable.transact

    def relay(call: StoreCall) -> StoreAnswer:
        assert not isinstance(call, ReadCall)
        answer = transact(store, call.transaction)  # type: ignore[union-attr]
        assert isinstance(answer, PartConflict)
        return StoreAnswer(conflict=answer)

    transaction = PartTransaction('p', (RowCondition('t', 'k', 0),), (RowPut('t', 'k', b'v'),))
    answer = relayed(store, relay).transact(transaction)
    assert isinstance(answer, PartConflict)
    row = answer.row('t', 'k')
    assert row is not None
    assert row.value == b'v'


class _RaisingTable(PartTable):
    """Raises at each call, like a client that cannot stand what the store has sent."""

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        raise ZeroDivisionError

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        raise ZeroDivisionError


@pytest.mark.parametrize('relay_raises', [False, True])
def test_call_that_raises_ends_for_its_caller(*, relay_raises: bool) -> None:
    # Whoever accepts a job or takes one over would wait for an answer that never comes.
    def relay(call: StoreCall) -> StoreAnswer:
        return perform(_RaisingTable(), call) if relay_raises else no_peer(call)

    table = relayed(_RaisingTable(), relay)
    with gevent.Timeout(10.0):
        assert table.transact(PartTransaction('p')) == AMBIGUOUS
        assert table.read('t', 'p') == AMBIGUOUS


def test_peer_answers_a_call_that_raises_here() -> None:
    table = relayed(_RaisingTable(), lambda call: perform(PartTable(), call))
    with gevent.Timeout(10.0):
        assert isinstance(table.read('t', 'p'), Listing)


class SuspendingTable(PartTable):
    """A store whose answers are on their way while the machine is suspended."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.suspended_ms = 0.0

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        answer = super().read(table, part, from_key, limit)
        assert isinstance(self._clock, ManualClock)
        self._clock.ms += self.suspended_ms
        return answer


def test_time_of_an_answer_that_was_long_on_its_way_is_not_taken() -> None:
    # Jobs accepted right after the suspension would be given up early by as much.
    clock = ManualClock()
    direct = SuspendingTable(clock)
    store_clock = StoreClock(manual_context(clock))
    table = relayed(direct, no_peer, clock, store_clock)
    direct.suspended_ms = CLOCK_READ_MS + 1.0
    table.read('table', 'part')
    assert store_clock.now_ms is None
    direct.suspended_ms = CLOCK_READ_MS
    table.read('table', 'part')
    assert store_clock.now_ms == clock.now_ms() - CLOCK_READ_MS
