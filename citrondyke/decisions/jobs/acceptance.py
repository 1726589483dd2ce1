"""Acceptance and cancellation of job files and jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.core.commit import (
    CommitFailure,
    CommitFailureReason,
    commit,
    transaction,
)
from citrondyke.decisions.core.ops import read_rows
from citrondyke.decisions.jobs.job_derivations import (
    ROWS_PER_TRANSACTION,
    job_digest,
    job_id_of,
    job_record,
    todo_rows,
)
from citrondyke.decisions.jobs.job_request import (
    AcceptedJob,
    JobRejection,
    JobRejectionReason,
    JobRequest,
    JobResult,
)
from citrondyke.decisions.jobs.rows import (
    FileRow,
    JobRow,
    JobState,
    OpenRow,
    file_row_key,
    job_index_key,
    job_row_key,
    open_row_key,
)
from citrondyke.ids import JobId, TenantId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.table_service import Committed, Conflict
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.configuration.configuration import Configuration
    from citrondyke.decisions.configuration.entries import ClassEntry
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.jobs.job_file_reader import JobFileSummary
    from citrondyke.ids import RowKey

__all__ = ('JobAcceptance',)

COMMIT_TIMEOUT_MS = 4000.0
DAY_MS = 86_400_000.0
MINUTE_MS = 60_000.0


class JobAcceptance:
    """Stores files and jobs durably before their callers get an answer."""

    def __init__(
        self,
        context: Context,
        configuration: Callable[[], Configuration],
        on_outcome: Callable[[OutcomeRecord], None],
    ) -> None:
        """Start with the given collaborators.

        :param on_outcome: called when a job is accepted.
        """
        self._on_outcome = on_outcome
        self._context = context
        self._configuration = configuration

    def record_file(
        self, tenant_id: TenantId, upload_id: str, filename: str, summary: JobFileSummary
    ) -> Workflow[tuple[str, FileRow] | JobRejection]:
        """Make an uploaded file visible; uploading the same content again yields the same file."""
        file_id = 'file-' + digest_hex(tenant_id.encode(), summary.digest.encode())
        key = file_row_key(tenant_id, file_id)
        row = FileRow(
            upload_id=upload_id,
            filename=filename,
            purpose='batch',
            size_bytes=summary.size_bytes,
            items_count=summary.items_count,
            segments_count=summary.segments_count,
            segment_items=summary.segment_items,
            digest=summary.digest,
            target=summary.target,
            url=summary.url,
            created_epoch_ms=self._context.epoch_ms(),
        )
        wanted = transaction(self._context, [(key, None)], [(key, row)])
        result = yield from commit(
            self._context, wanted, self._context.now_ms() + COMMIT_TIMEOUT_MS
        )
        if isinstance(result, CommitFailure):
            return _rejection_of(result)
        if isinstance(result, Conflict):
            return file_id, msgspec.json.decode(result.rows[key].value, type=FileRow)
        return file_id, row

    def find_file(self, tenant_id: TenantId, file_id: str) -> Workflow[FileRow | JobRejection]:
        """Read a file's row."""
        key = file_row_key(tenant_id, file_id)
        found = yield from read_rows(key)
        if isinstance(found, PlatformFailure):
            return JobRejection(JobRejectionReason.PLATFORM_DOWN)
        if key not in found:
            return JobRejection(JobRejectionReason.NO_FILE)
        return msgspec.json.decode(found[key].value, type=FileRow)

    def find_job(self, tenant_id: TenantId | None, job_id: JobId) -> Workflow[JobResult]:
        """Read a job's row.

        :param tenant_id: tenant that must own the job; ``None`` for an operator.
        """
        key = job_row_key(job_id)
        found = yield from read_rows(key)
        if isinstance(found, PlatformFailure):
            return JobRejection(JobRejectionReason.PLATFORM_DOWN)
        if key not in found:
            return JobRejection(JobRejectionReason.NO_JOB)
        row = msgspec.json.decode(found[key].value, type=JobRow)
        if tenant_id is not None and row.tenant_id != tenant_id:
            return JobRejection(JobRejectionReason.NO_JOB)
        return AcceptedJob(job_id, row, found[key].version)

    def accept(self, request: JobRequest) -> Workflow[JobResult]:
        """Accept a job, or find the one that the same request created before."""
        file = yield from self.find_file(request.tenant_id, request.file_id)
        if isinstance(file, JobRejection):
            return file
        configuration = self._configuration()
        wanted_class = configuration.class_entry(request.class_name)
        if request.endpoint != file.url and not _is_service(file.url, request.endpoint):
            return JobRejection(JobRejectionReason.WRONG_ENDPOINT)
        if wanted_class is None:
            return JobRejection(JobRejectionReason.UNKNOWN_TARGET)
        job_id = job_id_of(request, file.digest)
        job = self._new_job(request, file, wanted_class)
        result = yield from self._write(job_id, job)
        if isinstance(result, CommitFailure):
            return _rejection_of(result)
        if isinstance(result, Committed):
            self._on_outcome(job_record(RecordKind.JOB_ACCEPTED, job_id, job))
            return AcceptedJob(job_id, job, result.version)
        found = yield from self.find_job(request.tenant_id, job_id)
        if isinstance(found, AcceptedJob) and found.row.digest != job.digest:
            return JobRejection(JobRejectionReason.KEY_CONFLICT)
        return found

    def cancel(self, tenant_id: TenantId | None, job_id: JobId) -> Workflow[JobResult]:
        """Cancel a job; a finished or stopping job stays unchanged.

        Claims and commits check the version of the job row, so after this write no further outcome
        of work becomes visible, even from instances that still hold a segment.
        """
        until_ms = self._context.now_ms() + COMMIT_TIMEOUT_MS
        while True:
            found = yield from self.find_job(tenant_id, job_id)
            if isinstance(found, JobRejection) or found.row.state is not JobState.RUNNING:
                return found
            stopped = yield from self.stop(found, JobState.CANCELLING, until_ms)
            if isinstance(stopped, CommitFailure):
                return _rejection_of(stopped)
            if isinstance(stopped, AcceptedJob):
                return stopped

    def stop(
        self, job: AcceptedJob, state: JobState, until_ms: float
    ) -> Workflow[AcceptedJob | Conflict | CommitFailure]:
        """Write a state in which the job accepts no further outcomes of work."""
        key = job_row_key(job.job_id)
        open_key = open_row_key(job.row.target, job.row.deadline_epoch_ms, job.job_id)
        found = yield from read_rows(open_key)
        if isinstance(found, PlatformFailure):
            return CommitFailure(CommitFailureReason.NOT_WRITTEN)
        row = msgspec.structs.replace(
            job.row, state=state, stopped_epoch_ms=self._context.epoch_ms()
        )
        checks: list[tuple[RowKey, int | None]] = [(key, job.version)]
        writes: list[tuple[RowKey, msgspec.Struct | None]] = [(key, row)]
        if open_key in found:
            opened = msgspec.json.decode(found[open_key].value, type=OpenRow)
            checks.append((open_key, found[open_key].version))
            writes.append((open_key, msgspec.structs.replace(opened, is_stopping=True)))
        result = yield from commit(
            self._context, transaction(self._context, checks, writes), until_ms
        )
        if isinstance(result, Committed):
            return AcceptedJob(job.job_id, row, result.version)
        return result

    def _write(self, job_id: JobId, job: JobRow) -> Workflow[Committed | Conflict | CommitFailure]:
        key = job_row_key(job_id)
        rows = todo_rows(job_id, job, 0, ROWS_PER_TRANSACTION)
        opened = OpenRow(
            tenant_id=job.tenant_id,
            segments_count=job.segments_count,
            materialized_count=len(rows),
            expires_epoch_ms=job.expires_epoch_ms,
        )
        writes: list[tuple[RowKey, msgspec.Struct | None]] = [
            (key, job),
            (open_row_key(job.target, job.deadline_epoch_ms, job_id), opened),
            (job_index_key(job.tenant_id, job.created_epoch_ms, job_id), _IndexRow()),
            *rows,
        ]
        wanted = transaction(self._context, [(key, None)], writes)
        return (
            yield from commit(self._context, wanted, self._context.now_ms() + COMMIT_TIMEOUT_MS)
        )

    def _new_job(self, request: JobRequest, file: FileRow, wanted_class: ClassEntry) -> JobRow:
        now_ms = self._context.epoch_ms()
        return JobRow(
            tenant_id=request.tenant_id,
            class_name=request.class_name,
            target=file.target,
            endpoint=request.endpoint,
            file_id=request.file_id,
            upload_id=file.upload_id,
            items_count=file.items_count,
            segments_count=file.segments_count,
            segment_items=file.segment_items,
            digest=job_digest(request, file.digest),
            state=JobState.RUNNING,
            created_epoch_ms=now_ms,
            deadline_epoch_ms=_deadline_epoch_ms(wanted_class, now_ms),
            expires_epoch_ms=now_ms + DAY_MS,
            completion_window=request.completion_window,
            metadata=request.metadata,
        )


class _IndexRow(msgspec.Struct, frozen=True):
    """Marks that the job exists; its data is in the job row."""


def _deadline_epoch_ms(wanted_class: ClassEntry, now_ms: float) -> float:
    deadline_ms = now_ms + wanted_class.finish_within_ms
    if wanted_class.finish_by_minute_utc is None:
        return deadline_ms
    by_ms = now_ms - now_ms % DAY_MS + wanted_class.finish_by_minute_utc * MINUTE_MS
    if by_ms <= now_ms:
        by_ms += DAY_MS
    return min(deadline_ms, by_ms)


def _is_service(url: str, endpoint: str) -> bool:
    return url.startswith('/services/') and url.startswith(endpoint)


def _rejection_of(uncertain: CommitFailure) -> JobRejection:
    if uncertain.reason is CommitFailureReason.NOT_WRITTEN:
        return JobRejection(JobRejectionReason.PLATFORM_DOWN)
    return JobRejection(JobRejectionReason.UNCERTAIN)
