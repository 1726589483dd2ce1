"""The store turns one instance away; its callers and its jobs go by way of a peer."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from citrondyke.gateway.peers.relayed_table import (
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
from citrondyke.util.clock import SystemClock
from tests.support.gateway import GatewayFleet


def refuse(fleet: GatewayFleet, at: int) -> None:
    fleet.store.faults.refused_ips = {fleet.instances[at].address.ip}


def test_job_is_accepted_and_done_by_an_instance_that_the_store_refuses(
    fleet: GatewayFleet,
) -> None:
    # The store refuses the instance that the caller reached. It answers 202 all the same, since
    # a peer makes the job durable for it, and it runs the items.
    refuse(fleet, 1)
    assert fleet.submit('job-1', at=1).status == 202
    assert len(fleet.wait_done('job-1', at=1)) == 3
    assert len(fleet.wait_done('job-1', at=0)) == 3


def test_job_is_accepted_though_the_store_is_silent_for_its_instance(fleet: GatewayFleet) -> None:
    refuse(fleet, 1)
    fleet.store.faults.is_silent = True
    assert fleet.submit('job-1', at=1).status == 202
    assert len(fleet.wait_done('job-1', at=0)) == 3


def test_job_of_another_instance_is_read_and_ended_there(fleet: GatewayFleet) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 300.0
    assert fleet.submit('job-1', at=0).status == 202
    refuse(fleet, 1)
    assert fleet.results('job-1', at=1)['total'] == 3
    body = fleet.call('/-/items/job-1?id=job-1-0', b'', at=1, method='GET')
    assert body.body == b'item 0'
    assert fleet.call('/-/lots/job-1', b'', at=1, method='DELETE').status == 200


def test_refused_owner_keeps_its_job(fleet: GatewayFleet) -> None:
    # The owner cannot write its heartbeats itself for longer than a silence. They go by way of a
    # peer, so that nobody takes its job over and no item runs twice.
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 700.0
    assert fleet.submit('job-1', 2, at=1).status == 202
    refuse(fleet, 1)
    gevent.sleep(3.8)
    assert 'job-1' in fleet.instances[1].batch.owned.by_id
    fleet.wait_done('job-1', at=0)
    ran = [run.request_id for server in fleet.servers.values() for run in server.runs]
    assert sorted(ran) == ['job-1-0', 'job-1-1']


class _Direct(PartTable):
    """A store that answers an instance as a test says."""

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


def relayed(direct: PartTable, relay: Callable[[StoreCall], StoreAnswer]) -> RelayedTable:
    clock = SystemClock()
    return RelayedTable(clock, direct, relay, Dependency(clock, 'store'), Tasks())


def no_peer(_: StoreCall) -> StoreAnswer:
    return StoreAnswer(failure=PlatformFailureReason.UNAVAILABLE)


def test_peers_are_not_asked_while_the_store_answers() -> None:
    asked: list[StoreCall] = []

    def relay(call: StoreCall) -> StoreAnswer:
        asked.append(call)
        return no_peer(call)

    table = relayed(_Direct(None), relay)
    assert isinstance(table.read('t', 'p'), Listing)
    assert not asked


def test_slow_answer_is_raced_by_a_peers() -> None:
    table = relayed(_Direct(None, wait_s=20.0), lambda call: perform(PartTable(), call))
    assert isinstance(table.read('t', 'p'), Listing)


@pytest.mark.parametrize('failure', [AMBIGUOUS, PlatformFailure(PlatformFailureReason.UNAVAILABLE)])
def test_doubt_stays_doubt_though_the_peer_refuses(failure: PlatformFailure) -> None:
    # The instance's own call may have taken effect; that a peer was refused does not make it
    # "not written", which a caller would be told as "not run".
    table = relayed(_Direct(failure), no_peer)
    answer = table.transact(PartTransaction('p', puts=(RowPut('t', 'k', b'v'),)))
    assert isinstance(answer, PlatformFailure)
    assert answer.reason is failure.reason


def test_transaction_that_went_both_ways_shows_its_own_rows() -> None:
    # The direct reply is lost after the write, and the peer's try finds the rows. Whoever asked
    # sees by them that the write is its own.
    store = _Direct(AMBIGUOUS)
    peers_view = PartTable.transact

    def relay(call: StoreCall) -> StoreAnswer:
        assert not isinstance(call, ReadCall)
        answer = peers_view(store, call.transaction)  # type: ignore[union-attr]
        assert isinstance(answer, PartConflict)
        return StoreAnswer(conflict=answer)

    wanted = PartTransaction('p', (RowCondition('t', 'k', 0),), (RowPut('t', 'k', b'v'),))
    answer = relayed(store, relay).transact(wanted)
    assert isinstance(answer, PartConflict)
    row = answer.row('t', 'k')
    assert row is not None
    assert row.value == b'v'
