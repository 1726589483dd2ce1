"""The store, by way of a peer where it does not answer this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import gevent.queue
import logbook
import msgspec
from gevent.queue import Queue

from citrondyke.storage.failure import (
    AMBIGUOUS,
    PlatformFailure,
    PlatformFailureReason,
)
from citrondyke.storage.partitioned_table import (
    ChangeBatch,
    Listing,
    PartCommitted,
    PartConflict,
    PartitionedTable,
    PartTransaction,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.util.clock import Clock

__all__ = (
    'ListPartsCall',
    'ReadCall',
    'RelayedTable',
    'StoreAnswer',
    'StoreCall',
    'TransactCall',
    'perform',
)

log = logbook.Logger(__name__)

#: A direct call that has no answer after so long is tried by way of a peer too. The store answers
#: within 10 ms, and callers with a job want to hear within 500 ms.
HEDGE_MS = 150.0
#: ... or after this many times its usual time, so that a slow store is not asked twice for all.
HEDGE_FACTOR = 3.0
LATENCY_WEIGHT = 0.2
#: After a direct call has failed, calls go to a peer first for so long.
RELAY_FIRST_MS = 400.0
#: A detour that begins within this time of the last one's end is the same trouble.
SAME_OUTAGE_MS = 3_000.0


class TransactCall(msgspec.Struct, frozen=True, tag='transact'):
    """A transaction."""

    transaction: PartTransaction


class ReadCall(msgspec.Struct, frozen=True, tag='read'):
    """A read of a part."""

    table: str
    part: str
    from_key: str
    limit: int


class ListPartsCall(msgspec.Struct, frozen=True, tag='list_parts'):
    """A list of parts."""

    table: str
    after: str


StoreCall: TypeAlias = TransactCall | ReadCall | ListPartsCall


class StoreAnswer(msgspec.Struct, frozen=True):
    """An answer; one of them is there."""

    committed: PartCommitted | None = None
    conflict: PartConflict | None = None
    listing: Listing | None = None
    parts: list[str] | None = None
    failure: PlatformFailureReason | None = None


def perform(table: PartitionedTable, call: StoreCall) -> StoreAnswer:
    """Make a call at a table."""
    if isinstance(call, TransactCall):
        answer = table.transact(call.transaction)
        if isinstance(answer, PartCommitted):
            return StoreAnswer(committed=answer)
        if isinstance(answer, PartConflict):
            return StoreAnswer(conflict=answer)
        return StoreAnswer(failure=answer.reason)
    if isinstance(call, ReadCall):
        listing = table.read(call.table, call.part, call.from_key, call.limit)
        if isinstance(listing, PlatformFailure):
            return StoreAnswer(failure=listing.reason)
        return StoreAnswer(listing=listing)
    parts = table.list_parts(call.table, call.after)
    if isinstance(parts, PlatformFailure):
        return StoreAnswer(failure=parts.reason)
    return StoreAnswer(parts=parts)


class RelayedTable(PartitionedTable):
    """Tries the store itself, and a peer beside it where that stays without an answer.

    The store can turn one instance away, or be out of its reach, and serve the others. Callers
    who hand a job to that instance would be refused or wait, and jobs that it owns would stand
    still until they are taken over. A call may reach the store twice then; all transactions here
    name the versions that they need, so that the second finds the first one's rows.
    """

    def __init__(
        self,
        clock: Clock,
        direct: PartitionedTable,
        relay: Callable[[StoreCall], StoreAnswer],
        store: Dependency,
        tasks: Tasks,
    ) -> None:
        """Use both ways.

        :param relay: makes a call by way of a peer.
        :param store: told of direct calls and what becomes of them.
        """
        self._clock = clock
        self._direct = direct
        self._relay = relay
        self._store = store
        self._tasks = tasks
        self._mean_latency_ms = 10.0
        self._relay_until_ms = 0.0

    @property
    def typical_call_ms(self) -> float:
        """Give the mean time of the direct calls that were answered."""
        return self._mean_latency_ms

    def transact(
        self, transaction: PartTransaction
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Try a transaction, once."""
        answer = self._call(TransactCall(transaction))
        return answer.committed or answer.conflict or _failure(answer)

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read rows of a part from a key on."""
        answer = self._call(ReadCall(table, part, from_key, limit))
        return answer.listing or _failure(answer)

    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List parts behind one."""
        answer = self._call(ListPartsCall(table, after))
        return _failure(answer) if answer.parts is None else answer.parts

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Wait for changes; feeds take the direct way only, what they miss is read."""
        return self._direct.follow(table, after_version, wait_ms)

    def _call(self, call: StoreCall) -> StoreAnswer:
        answers: Queue[StoreAnswer] = Queue()
        started_ms = self._clock.now_ms()
        self._tasks.spawn(self._run_direct, call, started_ms, answers)
        first = None
        if started_ms >= self._relay_until_ms:
            hedge_ms = max(HEDGE_MS, HEDGE_FACTOR * self._mean_latency_ms)
            first = _next(answers, hedge_ms)
            if first is not None and not _should_relay(first):
                return first
        self._tasks.spawn(self._run_relay, call, answers)
        failures = [first] if first is not None else []
        while len(failures) < 2:  # noqa: PLR2004
            answer: StoreAnswer = answers.get()
            if not _should_relay(answer):
                return answer
            failures.append(answer)
        in_doubt = any(each.failure is PlatformFailureReason.AMBIGUOUS for each in failures)
        return StoreAnswer(
            failure=PlatformFailureReason.AMBIGUOUS
            if in_doubt
            else PlatformFailureReason.UNAVAILABLE
        )

    def _run_direct(self, call: StoreCall, started_ms: float, answers: Queue[StoreAnswer]) -> None:
        self._store.record_call()
        answer = perform(self._direct, call)
        now_ms = self._clock.now_ms()
        if answer.failure is not None and _should_relay(answer):
            if now_ms >= self._relay_until_ms + SAME_OUTAGE_MS:
                log.info('store.detour', extra={'reason': answer.failure.value})
            self._relay_until_ms = now_ms + RELAY_FIRST_MS
            self._store.record_failure(f'call: {answer.failure.value}')
        else:
            self._store.record_answer()
            self._mean_latency_ms += LATENCY_WEIGHT * (now_ms - started_ms - self._mean_latency_ms)
        answers.put(answer)

    def _run_relay(self, call: StoreCall, answers: Queue[StoreAnswer]) -> None:
        answers.put(self._relay(call))


def _should_relay(answer: StoreAnswer) -> bool:
    return answer.failure in (PlatformFailureReason.UNAVAILABLE, PlatformFailureReason.AMBIGUOUS)


def _next(answers: Queue[StoreAnswer], timeout_ms: float) -> StoreAnswer | None:
    try:
        found: StoreAnswer = answers.get(timeout=timeout_ms / 1e3)
    except gevent.queue.Empty:
        return None
    return found


def _failure(answer: StoreAnswer) -> PlatformFailure:
    if answer.failure is None:
        return AMBIGUOUS
    return PlatformFailure(answer.failure)
