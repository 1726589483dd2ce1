"""Closes finished, cancelled and expired jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.audit.record import RecordKind
from citrondyke.decisions.core.commit import CommitFailure, commit, transaction
from citrondyke.decisions.core.ops import read_rows, scan_rows
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.job_derivations import job_record, todo_rows
from citrondyke.decisions.jobs.job_request import AcceptedJob, JobRejection
from citrondyke.decisions.jobs.rows import (
    JobState,
    OpenRow,
    PartKind,
    PartRow,
    TodoRow,
    job_row_key,
    open_row_key,
    part_prefix,
    part_row_key,
    segment_of_key,
    todo_prefix,
)
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.audit.record import OutcomeRecord
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.jobs.acceptance import JobAcceptance
    from citrondyke.ids import JobId, RowKey
    from citrondyke.storage.table_service import Row

__all__ = ('JobCounts', 'Sweeper')

ROWS_PER_SWEEP = 40
SCAN_LIMIT = 500
COMMIT_TIMEOUT_MS = 4000.0
FINAL_STATES = {
    JobState.RUNNING: JobState.COMPLETED,
    JobState.CANCELLING: JobState.CANCELLED,
    JobState.EXPIRING: JobState.EXPIRED,
}
PART_KINDS = {JobState.CANCELLING: PartKind.CANCELLED, JobState.EXPIRING: PartKind.EXPIRED}


class JobCounts(msgspec.Struct, frozen=True):
    """Counts of a job's visible outcomes."""

    succeeded_count: int
    failed_count: int
    #: When the first and the last part became visible; ``None`` if there are none.
    first_epoch_ms: float | None = None
    last_epoch_ms: float | None = None


class Sweeper:
    """Writes the outcomes of unfinished items of stopped jobs, and closes jobs without work left.

    Any instance may perform any step at any time. Each step is one conditional transaction, so
    concurrent sweeps and crashes neither duplicate nor omit an outcome.
    """

    def __init__(
        self,
        context: Context,
        acceptance: JobAcceptance,
        on_outcome: Callable[[OutcomeRecord], None],
    ) -> None:
        """Start with the given collaborators.

        :param on_outcome: called when a job is finished.
        """
        self._on_outcome = on_outcome
        self._context = context
        self._acceptance = acceptance

    def sweep(self, job_id: JobId) -> Workflow[None]:
        """Close the unfinished items of a cancelled or expired job, and the job."""
        job = yield from self._acceptance.find_job(None, job_id)
        if isinstance(job, JobRejection):
            return
        if job.row.state is JobState.RUNNING:
            if job.row.expires_epoch_ms > self._context.epoch_ms():
                return
            stopped = yield from self._acceptance.stop(job, JobState.EXPIRING, self._until_ms())
            if not isinstance(stopped, AcceptedJob):
                return
            job = stopped
        if job.row.state in PART_KINDS:
            swept = yield from self._sweep_segments(job)
            if not swept:
                return
        yield from self.finish(job_id)

    def finish(self, job_id: JobId) -> Workflow[None]:
        """Close a job that has no unfinished segment."""
        job = yield from self._acceptance.find_job(None, job_id)
        if isinstance(job, JobRejection):
            return
        open_key = open_row_key(job.row.target, job.row.deadline_epoch_ms, job_id)
        found = yield from read_rows(open_key)
        if isinstance(found, PlatformFailure) or open_key not in found:
            return
        opened = msgspec.json.decode(found[open_key].value, type=OpenRow)
        if job.row.state.is_final or opened.materialized_count < opened.segments_count:
            return
        left = yield from scan_rows(todo_prefix(job_id), '', 1)
        if isinstance(left, PlatformFailure) or left:
            return
        counts = yield from self.count(job_id)
        if counts is None:
            return
        row = msgspec.structs.replace(
            job.row,
            state=FINAL_STATES[job.row.state],
            finished_epoch_ms=self._context.epoch_ms(),
            succeeded_count=counts.succeeded_count,
            failed_count=counts.failed_count,
        )
        wanted = transaction(
            self._context,
            [(job_row_key(job_id), job.version), (open_key, found[open_key].version)],
            [(job_row_key(job_id), row), (open_key, None)],
        )
        result = yield from commit(self._context, wanted, self._until_ms())
        if isinstance(result, Committed):
            self._on_outcome(job_record(RecordKind.JOB_ENDED, job_id, row))

    def parts(self, job_id: JobId) -> Workflow[list[tuple[RowKey, PartRow]] | None]:
        """Read all visible parts of a job, in order; ``None`` if the store does not respond."""
        found: list[tuple[RowKey, PartRow]] = []
        after = ''
        while True:
            rows = yield from scan_rows(part_prefix(job_id), after, SCAN_LIMIT)
            if isinstance(rows, PlatformFailure):
                return None
            found += [(row.key, msgspec.json.decode(row.value, type=PartRow)) for row in rows]
            if len(rows) < SCAN_LIMIT:
                return found
            after = rows[-1].key

    def count(self, job_id: JobId) -> Workflow[JobCounts | None]:
        """Count the visible outcomes of a job; ``None`` if the store does not respond."""
        parts = yield from self.parts(job_id)
        if parts is None:
            return None
        times = [part.finished_epoch_ms for _, part in parts]
        return JobCounts(
            succeeded_count=sum(part.succeeded_count for _, part in parts),
            failed_count=sum(part.failed_count for _, part in parts),
            first_epoch_ms=min(times, default=None),
            last_epoch_ms=max(times, default=None),
        )

    def _sweep_segments(self, job: AcceptedJob) -> Workflow[bool]:
        """Write the outcomes of all unfinished items; return whether all have one."""
        if not (yield from self._materialize_rest(job)):
            return False
        while True:
            rows = yield from scan_rows(todo_prefix(job.job_id), '', ROWS_PER_SWEEP)
            if isinstance(rows, PlatformFailure):
                return False
            if not rows:
                return True
            result = yield from self._close_rows(job, rows)
            if isinstance(result, CommitFailure):
                return False

    def _close_rows(self, job: AcceptedJob, rows: list[Row]) -> Workflow[Committed | object]:
        checks: list[tuple[RowKey, int | None]] = []
        writes: list[tuple[RowKey, msgspec.Struct | None]] = []
        for row in rows:
            todo = msgspec.json.decode(row.value, type=TodoRow)
            part_key = part_row_key(job.job_id, segment_of_key(row.key), todo.parts_count)
            part = PartRow(
                kind=PART_KINDS[job.row.state],
                items=todo.remaining,
                failed_count=len(ItemSet.parse(todo.remaining)),
                finished_epoch_ms=self._context.epoch_ms(),
            )
            checks += [(row.key, row.version), (part_key, None)]
            writes += [(row.key, None), (part_key, part)]
        wanted = transaction(self._context, checks, writes)
        return (yield from commit(self._context, wanted, self._until_ms()))

    def _materialize_rest(self, job: AcceptedJob) -> Workflow[bool]:
        """Write the missing todo rows of a long job, so that all its segments can be closed."""
        open_key = open_row_key(job.row.target, job.row.deadline_epoch_ms, job.job_id)
        while True:
            found = yield from read_rows(open_key)
            if isinstance(found, PlatformFailure):
                return False
            if open_key not in found:
                return True
            opened = msgspec.json.decode(found[open_key].value, type=OpenRow)
            if opened.materialized_count >= opened.segments_count:
                return True
            rows = todo_rows(job.job_id, job.row, opened.materialized_count, ROWS_PER_SWEEP)
            moved = msgspec.structs.replace(
                opened, materialized_count=opened.materialized_count + len(rows)
            )
            wanted = transaction(
                self._context, [(open_key, found[open_key].version)], [(open_key, moved), *rows]
            )
            result = yield from commit(self._context, wanted, self._until_ms())
            if isinstance(result, CommitFailure):
                return False

    def _until_ms(self) -> float:
        return self._context.now_ms() + COMMIT_TIMEOUT_MS
