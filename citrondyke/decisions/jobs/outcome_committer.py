"""Commits the outcomes of a held segment, which makes them visible."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.commit import CommitFailure, commit, transaction
from citrondyke.decisions.core.ops import put_object, read_rows, sleep_until
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.rows import PartKind, PartRow, TodoRow, job_row_key, part_row_key
from citrondyke.ids import ObjectKey, RowKey
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed, Conflict

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.jobs.held_segment import HeldSegment

__all__ = ('OutcomeCommitter',)

COMMIT_TIMEOUT_MS = 30_000.0
PUT_RETRY_MS = 500.0


class OutcomeCommitter:
    """Writes outcome objects, then commits them in one conditional transaction."""

    def __init__(self, context: Context, on_lost: Callable[[HeldSegment], None]) -> None:
        """Start with the given collaborators.

        :param on_lost: called when the segment turns out to belong to another instance.
        """
        self._context = context
        self._on_lost = on_lost

    def commit_part(self, held: HeldSegment) -> Workflow[bool]:
        """Commit all recorded outcomes: objects first, then one transaction.

        The transaction checks the rows of the segment and the job. If another instance took over or
        the job was cancelled meanwhile, it fails and the objects stay invisible.
        """
        positions = sorted(held.outcomes)
        part = yield from self._store_part(held, positions)
        while not held.is_lost:
            row = self._row_after(held, positions)
            checks: list[tuple[RowKey, int | None]] = [
                (held.key, held.row_version),
                (job_row_key(held.job_id), held.job_version),
            ]
            writes: list[tuple[RowKey, msgspec.Struct | None]] = []
            if part is not None:
                part_key = part_row_key(held.job_id, held.segment, held.row.parts_count)
                checks.append((part_key, None))
                writes.append((part_key, part))
            writes.append((held.key, row if row.remaining else None))
            wanted = transaction(self._context, checks, writes)
            until_ms = self._context.now_ms() + COMMIT_TIMEOUT_MS
            result = yield from commit(self._context, wanted, until_ms)
            if isinstance(result, Committed):
                held.record_committed(row, result.version, positions)
                return True
            if isinstance(result, Conflict):
                self._on_lost(held)
                return False
            if isinstance(result, CommitFailure):
                settled = yield from self._resolve_uncertain(held, wanted.write_id)
                if settled is not None:
                    held.record_committed(row, settled, positions)
                    return True
        return False

    def _resolve_uncertain(self, held: HeldSegment, write_id: str) -> Workflow[int | None]:
        """Find out, after a long outage, whether a commit of uncertain outcome took effect."""
        found = yield from read_rows(held.key)
        if isinstance(found, PlatformFailure):
            return None
        row = found.get(held.key)
        if row is not None and row.write_id == write_id:
            return row.version
        return None

    def _store_part(self, held: HeldSegment, positions: list[int]) -> Workflow[PartRow | None]:
        if not positions:
            return None
        succeeded = [
            held.outcomes[each].line for each in positions if held.outcomes[each].is_success
        ]
        failed = [
            held.outcomes[each].line for each in positions if not held.outcomes[each].is_success
        ]
        # The fence in the key keeps a fenced holder from overwriting the objects of the current
        # holder.
        stem = f'result/{held.job_id}/{held.segment:06d}/{held.row.fence}-{held.row.parts_count}'
        output_key = yield from self._store_lines(held, f'{stem}.out', succeeded)
        error_key = yield from self._store_lines(held, f'{stem}.err', failed)
        return PartRow(
            kind=PartKind.RESULTS,
            items=ItemSet.of(positions).text(),
            output_key=output_key,
            error_key=error_key,
            succeeded_count=len(succeeded),
            failed_count=len(failed),
            finished_epoch_ms=self._context.epoch_ms(),
        )

    def _store_lines(
        self, held: HeldSegment, key: str, lines: list[bytes]
    ) -> Workflow[ObjectKey | str]:
        if not lines:
            return ''
        body = b'\n'.join(lines) + b'\n'
        while not held.is_lost:
            failure = yield from put_object(ObjectKey(key), body)
            if failure is None:
                return ObjectKey(key)
            pause_ms = self._context.jittered_ms(PUT_RETRY_MS)
            yield from sleep_until(self._context.now_ms() + pause_ms)
        return ''

    def _row_after(self, held: HeldSegment, positions: list[int]) -> TodoRow:
        committed = ItemSet.of(positions)
        remaining = held.remaining - committed
        # An outcome recorded after the commit began goes into the next one; if the segment were
        # released before that, the item would run again.
        is_complete = not (ItemSet.of(held.outcomes) - committed)
        is_released = held.is_releasing and not held.running_count and is_complete
        started = held.started_after_commit(committed) if held.records_starts else ItemSet()
        if is_released:
            started = ItemSet()
        attempts = {each: count for each, count in held.attempts.items() if each in remaining}
        return msgspec.structs.replace(
            held.row,
            remaining=remaining.text(),
            owner='' if is_released else held.row.owner,
            started=started.text(),
            attempts=attempts,
            parts_count=held.row.parts_count + (1 if positions else 0),
        )
