"""Finds and claims segments with unfinished items."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.commit import CommitFailure, commit, transaction
from citrondyke.decisions.core.ops import get_object, read_rows, scan_rows
from citrondyke.decisions.jobs.held_segment import HeldSegment
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.job_derivations import ROWS_PER_TRANSACTION, todo_rows
from citrondyke.decisions.jobs.job_request import AcceptedJob
from citrondyke.decisions.jobs.rows import (
    JobRow,
    JobState,
    OpenRow,
    TodoRow,
    input_object_key,
    job_row_key,
    open_prefix,
    segment_of_key,
    todo_prefix,
)
from citrondyke.decisions.membership.session_row import (
    SessionRow,
    session_row_key,
    split_session_id,
)
from citrondyke.ids import JobId, RowKey, SessionId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.jobs.sweeper import Sweeper
    from citrondyke.decisions.membership.lease_watch import LeaseWatch
    from citrondyke.decisions.membership.session_lease import SessionLease
    from citrondyke.ids import TargetName
    from citrondyke.storage.table_service import Row

__all__ = ('SegmentClaimer',)

#: Open jobs read in one poll, earliest deadline first.
JOBS_PER_POLL = 16
#: Segments of one job read in one poll.
SEGMENTS_PER_POLL = 16
COMMIT_TIMEOUT_MS = 4000.0


class SegmentClaimer:
    """Claims segments for this instance, one at a time."""

    def __init__(
        self,
        context: Context,
        session: SessionLease,
        leases: LeaseWatch,
        sweeper: Sweeper,
        is_repeatable: Callable[[TargetName], bool],
        is_held: Callable[[RowKey], bool],
    ) -> None:
        """Start with the given collaborators."""
        self._context = context
        self._session = session
        self._leases = leases
        self._sweeper = sweeper
        self._is_repeatable = is_repeatable
        self._is_held = is_held

    def claim(self, target: TargetName) -> Workflow[HeldSegment | None]:
        """Claim the free segment with the earliest deadline; ``None`` if there is none."""
        prefix = open_prefix(target)
        rows = yield from scan_rows(prefix, '', JOBS_PER_POLL)
        if isinstance(rows, PlatformFailure):
            return None
        for row in rows:
            try:
                held = yield from self._inspect_job(row)
            except msgspec.DecodeError:
                # A row that this version cannot decode may have the earliest deadline; unless it
                # is skipped, no job after it would ever run.
                continue
            if held is not None:
                return held
        return None

    def _inspect_job(self, row: Row) -> Workflow[HeldSegment | None]:
        opened = msgspec.json.decode(row.value, type=OpenRow)
        job_id = JobId(row.key.rsplit('/', 1)[1])
        if opened.is_stopping or opened.expires_epoch_ms <= self._context.epoch_ms():
            yield from self._sweeper.sweep(job_id)
            return None
        return (yield from self._claim_of_job(job_id, row, opened))

    def _claim_of_job(
        self, job_id: JobId, open_row: Row, opened: OpenRow
    ) -> Workflow[HeldSegment | None]:
        candidates = yield from self._candidates(job_id, opened)
        if candidates is None:
            return None
        if not candidates:
            yield from self._materialize_or_finish(job_id, open_row, opened)
            return None
        owners = {
            session_row_key(split_session_id(SessionId(todo.owner))[0])
            for _, todo in candidates
            if todo.owner
        }
        found = yield from read_rows(job_row_key(job_id), *sorted(owners))
        if isinstance(found, PlatformFailure) or job_row_key(job_id) not in found:
            return None
        job_row = found[job_row_key(job_id)]
        job = AcceptedJob(job_id, msgspec.json.decode(job_row.value, type=JobRow), job_row.version)
        if job.row.state is not JobState.RUNNING:
            return None
        for row, todo in candidates:
            if not self._is_claimable(row.key, todo, found):
                continue
            held = yield from self._write_claim(job, row, todo)
            if held is not None:
                return held
        if opened.materialized_count < opened.segments_count:
            yield from self._materialize_or_finish(job_id, open_row, opened)
        return None

    def _candidates(
        self, job_id: JobId, opened: OpenRow
    ) -> Workflow[list[tuple[Row, TodoRow]] | None]:
        """Read segments from a random one on, so that instances seldom claim the same one."""
        prefix = todo_prefix(job_id)
        start = int(self._context.random.random() * opened.materialized_count)
        after = f'{prefix}{start:06d}' if start else ''
        rows = yield from scan_rows(prefix, after, SEGMENTS_PER_POLL)
        if isinstance(rows, PlatformFailure):
            return None
        if len(rows) < SEGMENTS_PER_POLL and after:
            more = yield from scan_rows(prefix, '', SEGMENTS_PER_POLL)
            if isinstance(more, PlatformFailure):
                return None
            known = {row.key for row in rows}
            rows = rows + [row for row in more if row.key not in known]
        return [(row, msgspec.json.decode(row.value, type=TodoRow)) for row in rows]

    def _is_claimable(self, key: RowKey, todo: TodoRow, found: dict[RowKey, Row]) -> bool:
        if not todo.owner:
            return True
        owner = SessionId(todo.owner)
        if owner == self._session.session:
            # An own claim or commit that was considered failed has taken effect after all. No
            # other instance would ever claim the segment while this one is alive.
            return not self._is_held(key)
        row = found.get(session_row_key(split_session_id(owner)[0]))
        session = None if row is None else msgspec.json.decode(row.value, type=SessionRow)
        return self._leases.has_expired(owner, session, self._context.now_ms())

    def _write_claim(
        self, job: AcceptedJob, row: Row, todo: TodoRow
    ) -> Workflow[HeldSegment | None]:
        """Write the claim; it increments the fence, so the previous holder can no longer commit."""
        claimed = self._claimed_row(todo)
        wanted = transaction(
            self._context,
            [(row.key, row.version), (job_row_key(job.job_id), job.version)],
            [(row.key, claimed)],
        )
        result = yield from commit(
            self._context, wanted, self._context.now_ms() + COMMIT_TIMEOUT_MS
        )
        if isinstance(result, CommitFailure) or not isinstance(result, Committed):
            return None
        held = HeldSegment(
            job.job_id,
            job.row,
            job.version,
            segment_of_key(row.key),
            claimed,
            result.version,
            is_repeatable=self._is_repeatable(job.row.target),
        )
        body = yield from get_object(input_object_key(job.row.upload_id, held.segment))
        if isinstance(body, PlatformFailure):
            yield from self._release_claim(held)
            return None
        held.load(body, is_after_death=claimed.deaths > todo.deaths)
        return held

    def _claimed_row(self, todo: TodoRow) -> TodoRow:
        owner = self._session.session
        if not todo.owner or todo.owner == owner:
            return msgspec.structs.replace(todo, owner=owner, fence=todo.fence + 1)
        lost = ItemSet.parse(todo.started) & ItemSet.parse(todo.remaining)
        suspects = ItemSet.parse(todo.suspects) | lost
        return msgspec.structs.replace(
            todo,
            owner=owner,
            fence=todo.fence + 1,
            deaths=todo.deaths + 1,
            suspects=suspects.text(),
        )

    def _release_claim(self, held: HeldSegment) -> Workflow[None]:
        freed = msgspec.structs.replace(held.row, owner='')
        wanted = transaction(self._context, [(held.key, held.row_version)], [(held.key, freed)])
        yield from commit(self._context, wanted, self._context.now_ms() + COMMIT_TIMEOUT_MS)

    def _materialize_or_finish(
        self, job_id: JobId, open_row: Row, opened: OpenRow
    ) -> Workflow[None]:
        """Write the next todo rows of a long job, or finish a job without segments left."""
        if opened.materialized_count >= opened.segments_count:
            yield from self._sweeper.finish(job_id)
            return
        found = yield from read_rows(job_row_key(job_id))
        if isinstance(found, PlatformFailure) or job_row_key(job_id) not in found:
            return
        job = msgspec.json.decode(found[job_row_key(job_id)].value, type=JobRow)
        rows = todo_rows(job_id, job, opened.materialized_count, ROWS_PER_TRANSACTION)
        moved = msgspec.structs.replace(
            opened, materialized_count=opened.materialized_count + len(rows)
        )
        wanted = transaction(
            self._context,
            [
                (open_row.key, open_row.version),
                (job_row_key(job_id), found[job_row_key(job_id)].version),
            ],
            [(open_row.key, moved), *rows],
        )
        yield from commit(self._context, wanted, self._context.now_ms() + COMMIT_TIMEOUT_MS)
