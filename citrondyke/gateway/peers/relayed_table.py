"""Access to the store that falls back to relaying calls through a peer."""

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

    from citrondyke.decisions.core.store_clock import StoreClock
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

#: A direct call without an answer for this long is also relayed by a peer. The store answers within
#: 10 ms, and callers that submit a job expect a response within 500 ms.
HEDGE_MS = 150.0
#: The delay is at least this multiple of the mean latency, so that a slow store doesn't get every
#: call twice.
HEDGE_FACTOR = 3.0
#: Weight of a new sample in the exponential moving average of the latency.
LATENCY_WEIGHT = 0.2
#: After a failed direct call, calls are relayed at once for this time, in parallel to the direct
#: call.
RELAY_FIRST_MS = 400.0
#: A failure within this time after the end of the last relay period belongs to the same outage and
#: isn't logged again.
SAME_OUTAGE_MS = 3_000.0
#: The time that the store states in an answer is taken only if the answer took no longer than this:
#: that clock is known late by as much, and a machine may be suspended during a call.
CLOCK_READ_MS = 1_000.0


class TransactCall(msgspec.Struct, frozen=True, tag='transact'):
    """Call that attempts a transaction."""

    transaction: PartTransaction


class ReadCall(msgspec.Struct, frozen=True, tag='read'):
    """Call that reads rows of a partition."""

    table: str
    part: str
    from_key: str
    limit: int


class ListPartsCall(msgspec.Struct, frozen=True, tag='list_parts'):
    """Call that lists partitions."""

    table: str
    after: str


StoreCall: TypeAlias = TransactCall | ReadCall | ListPartsCall


class StoreAnswer(msgspec.Struct, frozen=True):
    """Result of a call; exactly one field is set."""

    committed: PartCommitted | None = None
    conflict: PartConflict | None = None
    listing: Listing | None = None
    parts: list[str] | None = None
    failure: PlatformFailureReason | None = None


#: Result of a call whose outcome is not known.
AMBIGUOUS_ANSWER = StoreAnswer(failure=PlatformFailureReason.AMBIGUOUS)


def perform(table: PartitionedTable, call: StoreCall) -> StoreAnswer:
    """Make a call on a table, and return its result."""
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
    """Calls the store directly, and hedges unanswered calls through a peer.

    The store can reject or be unreachable for one instance while it serves the others. Without
    relaying, that instance would reject or delay the jobs of its callers, and the jobs that it owns
    would make no progress until they are taken over. A call may reach the store twice. That is safe
    since all transactions have conditions on row versions, so the second attempt conflicts with the
    rows that the first one wrote.
    """

    def __init__(
        self,
        clock: Clock,
        direct: PartitionedTable,
        relay: Callable[[StoreCall], StoreAnswer],
        store: Dependency,
        store_clock: StoreClock,
        tasks: Tasks,
    ) -> None:
        """Start with direct calls.

        :param direct: the store itself.
        :param relay: makes a call through a peer.
        :param store: records direct calls and their results.
        :param store_clock: gets the times that the store states.
        """
        self._clock = clock
        self._direct = direct
        self._relay = relay
        self._store = store
        self._store_clock = store_clock
        self._tasks = tasks
        self._mean_latency_ms = 10.0
        self._relay_until_ms = 0.0

    @property
    def mean_latency_ms(self) -> float:
        """Return the mean latency of answered direct calls."""
        return self._mean_latency_ms

    def transact(
        self, transaction: PartTransaction
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Attempt a transaction once."""
        answer = self._call(TransactCall(transaction))
        return answer.committed or answer.conflict or _failure(answer)

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read rows of a partition, beginning at a key."""
        asked_ms = self._clock.fence_ms()
        answer = self._call(ReadCall(table, part, from_key, limit))
        if answer.listing and self._clock.fence_ms() - asked_ms <= CLOCK_READ_MS:
            self._store_clock.observe(answer.listing.store_ms)
        return answer.listing or _failure(answer)

    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List partitions after one."""
        answer = self._call(ListPartsCall(table, after))
        return _failure(answer) if answer.parts is None else answer.parts

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Wait for changes, directly only; changes that a feed misses are found by reads."""
        return self._direct.follow(table, after_version, wait_ms)

    def _call(self, call: StoreCall) -> StoreAnswer:
        answers: Queue[StoreAnswer] = Queue()
        started_ms = self._clock.now_ms()
        self._tasks.spawn(self._run_direct, call, started_ms, answers)
        first = None
        if started_ms >= self._relay_until_ms:
            hedge_ms = max(HEDGE_MS, HEDGE_FACTOR * self._mean_latency_ms)
            first = _wait_for_answer(answers, hedge_ms)
            if first is not None and not _should_relay(first):
                return first
            if first is None:
                log.info(
                    'store.hedged',
                    extra={
                        'call': type(call).__name__,
                        'table': getattr(call, 'table', None),
                        'hedge_ms': round(hedge_ms, 1),
                        'waited_ms': round(self._clock.now_ms() - started_ms, 1),
                    },
                )
        self._tasks.spawn(self._run_relay, call, answers)
        failures = [first] if first is not None else []
        while len(failures) < 2:  # noqa: PLR2004
            answer: StoreAnswer = answers.get()
            if not _should_relay(answer):
                return answer
            failures.append(answer)
        is_uncertain = any(each.failure is PlatformFailureReason.AMBIGUOUS for each in failures)
        return StoreAnswer(
            failure=PlatformFailureReason.AMBIGUOUS
            if is_uncertain
            else PlatformFailureReason.UNAVAILABLE
        )

    def _run_direct(self, call: StoreCall, started_ms: float, answers: Queue[StoreAnswer]) -> None:
        self._store.record_call()
        try:
            answer = perform(self._direct, call)
        except Exception:
            # The call may have been made, and its caller waits for an answer.
            self._tasks.failures.record_failure('RelayedTable.direct')
            answer = AMBIGUOUS_ANSWER
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
        try:
            answer = self._relay(call)
        except Exception:
            self._tasks.failures.record_failure('RelayedTable.relay')
            answer = AMBIGUOUS_ANSWER
        answers.put(answer)


def _should_relay(answer: StoreAnswer) -> bool:
    return answer.failure in (PlatformFailureReason.UNAVAILABLE, PlatformFailureReason.AMBIGUOUS)


def _wait_for_answer(answers: Queue[StoreAnswer], timeout_ms: float) -> StoreAnswer | None:
    try:
        answer: StoreAnswer = answers.get(timeout=timeout_ms / 1e3)
    except gevent.queue.Empty:
        return None
    return answer


def _failure(answer: StoreAnswer) -> PlatformFailure:
    if answer.failure is None:
        return AMBIGUOUS
    return PlatformFailure(answer.failure)
