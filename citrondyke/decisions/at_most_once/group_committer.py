"""Group commit: many small conditional writes in few transactions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from citrondyke.decisions.core.commit import (
    CommitFailure,
    CommitFailureReason,
    commit,
    commit_once,
    transaction,
)
from citrondyke.decisions.core.ops import sleep_until, wait_for
from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import RowKey
from citrondyke.storage.table_service import Committed, Row

if TYPE_CHECKING:
    from citrondyke.decisions.at_most_once.transaction_rate_limiter import TransactionRateLimiter
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.storage.table_service import Conflict

__all__ = ('GroupCommitter', 'GroupConflict', 'GroupResult')

#: Maximum number of writes in one transaction.
GROUP_LIMIT = 100
#: Writes that may wait; more are rejected, as each one keeps a caller waiting.
WAITING_LIMIT = 10_000
#: Writes that arrive within this time after the first share its transaction.
COALESCE_MS = 3.0
#: How long an ambiguous reply is resolved by retries before the writers are notified.
RESOLUTION_TIMEOUT_MS = 2000.0
#: Circuit breaker: writes submitted within this time after a failure are rejected at once.
BREAKER_OPEN_MS = 500.0


class GroupConflict(msgspec.Struct, frozen=True):
    """Returned instead of a commit: the row is not at the expected version."""

    #: The current row; ``None`` if it does not exist.
    row: Row | None

    def __bool__(self) -> bool:
        """Return ``False``, as nothing was committed."""
        return False


GroupResult: TypeAlias = Committed | GroupConflict | CommitFailure


class _Write(msgspec.Struct, eq=False):
    key: RowKey
    expected_version: int | None
    value: msgspec.Struct
    result: Signal[GroupResult]


class GroupCommitter:
    """Commits all waiting writes together, one transaction at a time.

    The writes of a group are independent: those in conflict are completed with the conflict, and
    the others are committed again without them.
    """

    def __init__(self, context: Context, rate_limiter: TransactionRateLimiter) -> None:
        """Start without waiting writes."""
        self._context = context
        self._rate_limiter = rate_limiter
        self._waiting: deque[_Write] = deque()
        self._filled: Signal[None] = Signal()
        self._breaker_open_until_ms = float('-inf')

    def submit(
        self, key: RowKey, expected_version: int | None, value: msgspec.Struct
    ) -> Signal[GroupResult]:
        """Queue a write; the returned signal fires with its result.

        :param expected_version: ``None`` if the row must not exist.
        """
        result: Signal[GroupResult] = Signal()
        is_broken = self._context.now_ms() < self._breaker_open_until_ms
        if is_broken or len(self._waiting) >= WAITING_LIMIT:
            result.fire(CommitFailure(CommitFailureReason.NOT_WRITTEN))
            return result
        self._waiting.append(_Write(key, expected_version, value, result))
        self._filled.fire(None)
        return result

    def run(self) -> Workflow[None]:
        """Commit submitted writes until the instance stops."""
        while True:
            yield from wait_for(self._filled, None)
            now_ms = self._context.now_ms()
            yield from sleep_until(max(now_ms + COALESCE_MS, self._rate_limiter.next_ms(now_ms)))
            group = self._take_group()
            if not self._waiting:
                self._filled = Signal()
            yield from self._commit_group(group)

    def _take_group(self) -> list[_Write]:
        """Take writes to different rows; a second write to a row waits for the next group."""
        group: dict[RowKey, _Write] = {}
        deferred: deque[_Write] = deque()
        while self._waiting and len(group) < GROUP_LIMIT:
            write = self._waiting.popleft()
            if write.key in group:
                deferred.append(write)
                continue
            group[write.key] = write
        self._waiting.extendleft(reversed(deferred))
        return list(group.values())

    def _commit_group(self, group: list[_Write]) -> Workflow[None]:
        while group:
            self._rate_limiter.spend(self._context.now_ms())
            result = yield from self._commit(group)
            if isinstance(result, (Committed, CommitFailure)):
                if isinstance(result, CommitFailure):
                    self._breaker_open_until_ms = self._context.now_ms() + BREAKER_OPEN_MS
                for write in group:
                    write.result.fire(result)
                return
            for write in group:
                if write.key in result.broken:
                    write.result.fire(GroupConflict(result.rows.get(write.key)))
            group = [write for write in group if write.key not in result.broken]

    def _commit(self, group: list[_Write]) -> Workflow[Committed | Conflict | CommitFailure]:
        txn = transaction(
            self._context,
            [(write.key, write.expected_version) for write in group],
            [(write.key, write.value) for write in group],
        )
        result = yield from commit_once(txn)
        if isinstance(result, CommitFailure) and result.reason is CommitFailureReason.MAYBE_WRITTEN:
            until_ms = self._context.now_ms() + RESOLUTION_TIMEOUT_MS
            resolved = yield from commit(self._context, txn, until_ms)
            # The first attempt may have been written: a later NOT_WRITTEN does not change that.
            return result if isinstance(resolved, CommitFailure) else resolved
        return result
