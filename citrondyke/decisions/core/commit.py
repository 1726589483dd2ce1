"""Commit a transaction whose reply may be lost."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import sleep_until, transact_once
from citrondyke.storage.failure import PlatformFailureReason
from citrondyke.storage.table_service import Check, Committed, Conflict, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.ids import RowKey
    from citrondyke.storage.table_service import Row

__all__ = (
    'MAYBE_WRITTEN',
    'NOT_WRITTEN',
    'CommitFailure',
    'CommitFailureReason',
    'commit',
    'commit_once',
    'encode_row',
    'transaction',
)

FIRST_PAUSE_MS = 50.0
MAX_PAUSE_MS = 1000.0


class CommitFailureReason(Enum):
    """Why a commit failed."""

    #: Nothing was written and nothing will be.
    NOT_WRITTEN = 'not_written'
    #: It may have been written, or may still be written.
    MAYBE_WRITTEN = 'maybe_written'


class CommitFailure(msgspec.Struct, frozen=True):
    """Returned instead of a result that the table service did not give."""

    reason: CommitFailureReason

    def __bool__(self) -> bool:
        """Return ``False``, as nothing is known to be committed."""
        return False


MAYBE_WRITTEN = CommitFailure(CommitFailureReason.MAYBE_WRITTEN)
NOT_WRITTEN = CommitFailure(CommitFailureReason.NOT_WRITTEN)


def encode_row(value: msgspec.Struct | None) -> msgspec.Raw:
    """Encode a row's value; ``None`` deletes the row."""
    return msgspec.Raw(msgspec.json.encode(value))


def transaction(
    context: Context,
    checks: Iterable[tuple[RowKey, int | None]],
    writes: Iterable[tuple[RowKey, msgspec.Struct | None]],
) -> Transaction:
    """Build a transaction with a unique write id.

    :param checks: rows and their required versions, ``None`` if the row must not exist.
    :param writes: rows and their new values, ``None`` to delete a row.
    """
    return Transaction(
        context.new_write_id(),
        tuple(Check(key, version) for key, version in checks),
        tuple(Write(key, encode_row(value)) for key, value in writes),
    )


def commit_once(txn: Transaction) -> Workflow[Committed | Conflict | CommitFailure]:
    """Try a transaction once and classify the reply."""
    result = yield from transact_once(txn)
    if isinstance(result, Committed):
        return result
    if isinstance(result, Conflict):
        return _own_write(result, txn) or result
    if result.reason is PlatformFailureReason.UNAVAILABLE:
        return NOT_WRITTEN
    return MAYBE_WRITTEN


def commit(
    context: Context, txn: Transaction, until_ms: float
) -> Workflow[Committed | Conflict | CommitFailure]:
    """Retry a transaction until there is a result or the deadline passes.

    A reply can be lost after the write took effect. Retrying the same transaction is safe: the
    first write changed the versions that its checks require, so it cannot take effect twice. The
    conflict then contains this transaction's own write id, which proves that it was committed.

    :param until_ms: monotonic time after which no retry starts.
    """
    pause_ms = FIRST_PAUSE_MS
    reason = CommitFailureReason.NOT_WRITTEN
    while True:
        result = yield from commit_once(txn)
        if not isinstance(result, CommitFailure):
            return result
        if result.reason is CommitFailureReason.MAYBE_WRITTEN:
            reason = result.reason
        resume_ms = context.now_ms() + context.jittered_ms(pause_ms)
        if resume_ms >= until_ms:
            return CommitFailure(reason)
        yield from sleep_until(resume_ms)
        pause_ms = min(pause_ms * 2, MAX_PAUSE_MS)


def _own_write(conflict: Conflict, txn: Transaction) -> Committed | None:
    rows: Iterable[Row] = conflict.rows.values()
    for row in rows:
        if row.write_id == txn.write_id:
            return Committed(row.version)
    return None
