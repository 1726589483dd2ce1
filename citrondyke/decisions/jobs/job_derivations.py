"""Values derived from a job alone: its id, digest, outcome record and todo rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.rows import JobRow, JobState, TodoRow, todo_row_key
from citrondyke.ids import JobId
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from citrondyke.decisions.jobs.job_request import JobRequest
    from citrondyke.ids import RowKey

__all__ = ('ROWS_PER_TRANSACTION', 'job_digest', 'job_id_of', 'job_record', 'todo_rows')

#: Todo rows that one transaction writes.
ROWS_PER_TRANSACTION = 64


def job_id_of(request: JobRequest, file_digest: str) -> JobId:
    """Return the id of a job, from its tenant and idempotency key, or its content without a key.

    All instances derive the same id from the same request, so a resend finds the first job at any
    instance and at any time, even if both arrive concurrently.
    """
    identity = request.idempotency_key or job_digest(request, file_digest)
    kind = 'key' if request.idempotency_key else 'content'
    return JobId(
        'batch_' + digest_hex(request.tenant_id.encode(), kind.encode(), identity.encode())
    )


def job_digest(request: JobRequest, file_digest: str) -> str:
    """Return the digest of a job's input, endpoint and class."""
    return digest_hex(file_digest.encode(), request.endpoint.encode(), request.class_name.encode())


def job_record(kind: RecordKind, job_id: JobId, row: JobRow) -> OutcomeRecord:
    """Return the outcome record of an accepted or finished job."""
    is_ended = kind is RecordKind.JOB_ENDED
    ended_ms = row.finished_epoch_ms or row.created_epoch_ms
    is_kept = None
    if is_ended and row.state is not JobState.CANCELLED:
        is_kept = row.state is JobState.COMPLETED and ended_ms <= row.deadline_epoch_ms
    return OutcomeRecord(
        at_epoch_ms=ended_ms,
        kind=kind,
        tenant_id=row.tenant_id,
        class_name=row.class_name,
        target=row.target,
        request_id=job_id,
        outcome=row.state.value,
        is_kept=is_kept,
        total_ms=ended_ms - row.created_epoch_ms,
        items_count=row.items_count,
        succeeded_count=row.succeeded_count,
        failed_count=row.failed_count,
        deadline_epoch_ms=row.deadline_epoch_ms,
    )


def todo_rows(job_id: JobId, job: JobRow, first: int, count: int) -> list[tuple[RowKey, TodoRow]]:
    """Return the rows of at most ``count`` segments, starting with segment ``first``."""
    rows: list[tuple[RowKey, TodoRow]] = []
    for segment in range(first, min(first + count, job.segments_count)):
        size = min(job.segment_items, job.items_count - segment * job.segment_items)
        row = TodoRow(items_count=size, remaining=ItemSet.first(size).text())
        rows.append((todo_row_key(job_id, segment), row))
    return rows
