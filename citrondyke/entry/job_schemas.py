"""Published representations of files and jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from citrondyke.decisions.jobs.rows import JobState

if TYPE_CHECKING:
    from citrondyke.decisions.jobs.job_request import AcceptedJob
    from citrondyke.decisions.jobs.rows import FileRow
    from citrondyke.decisions.jobs.sweeper import JobCounts
    from citrondyke.ids import JobId

__all__ = (
    'BatchRequest',
    'batch_fields',
    'error_file_id',
    'file_fields',
    'output_file_id',
    'parse_result_file_id',
)

OUTPUT_PREFIX = 'file-out-'
ERROR_PREFIX = 'file-err-'

STATUSES = {
    JobState.RUNNING: 'in_progress',
    JobState.CANCELLING: 'cancelling',
    JobState.EXPIRING: 'finalizing',
    JobState.COMPLETED: 'completed',
    JobState.CANCELLED: 'cancelled',
    JobState.EXPIRED: 'expired',
}


class BatchRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/batches``."""

    input_file_id: str
    endpoint: str
    completion_window: str = '24h'
    metadata: dict[str, str] | None = None


def output_file_id(job_id: JobId) -> str:
    """Return the id of a job's file of successful results."""
    return OUTPUT_PREFIX + job_id


def error_file_id(job_id: JobId) -> str:
    """Return the id of a job's file of failed items."""
    return ERROR_PREFIX + job_id


def parse_result_file_id(file_id: str) -> tuple[str, bool] | None:
    """Return the job id of a result file and whether it is the error file.

    Returns ``None`` if the id is not the id of a result file.
    """
    if file_id.startswith(OUTPUT_PREFIX):
        return file_id[len(OUTPUT_PREFIX) :], False
    if file_id.startswith(ERROR_PREFIX):
        return file_id[len(ERROR_PREFIX) :], True
    return None


def file_fields(file_id: str, row: FileRow) -> dict[str, Any]:
    """Return the published fields of an uploaded file."""
    return {
        'id': file_id,
        'object': 'file',
        'bytes': row.size_bytes,
        'created_at': _seconds(row.created_epoch_ms),
        'filename': row.filename,
        'purpose': row.purpose,
        'status': 'processed',
    }


def batch_fields(job: AcceptedJob, counts: JobCounts) -> dict[str, Any]:
    """Return the published fields of a job, and its class and deadline under ``citrondyke``."""
    row = job.row
    is_final = row.state.is_final
    finished_at = _seconds(row.finished_epoch_ms)
    stopped_at = _seconds(row.stopped_epoch_ms)
    is_cancelled = row.state in (JobState.CANCELLING, JobState.CANCELLED)
    return {
        'id': job.job_id,
        'object': 'batch',
        'endpoint': row.endpoint,
        'errors': None,
        'input_file_id': row.file_id,
        'completion_window': row.completion_window,
        'status': STATUSES[row.state],
        'output_file_id': output_file_id(job.job_id) if counts.succeeded_count else None,
        'error_file_id': error_file_id(job.job_id) if counts.failed_count else None,
        'created_at': _seconds(row.created_epoch_ms),
        'in_progress_at': _seconds(row.created_epoch_ms),
        'expires_at': _seconds(row.expires_epoch_ms),
        'finalizing_at': None,
        'completed_at': finished_at if row.state is JobState.COMPLETED else None,
        'failed_at': None,
        'expired_at': finished_at if row.state is JobState.EXPIRED else None,
        'cancelling_at': stopped_at if is_cancelled else None,
        'cancelled_at': finished_at if row.state is JobState.CANCELLED else None,
        'request_counts': {
            'total': row.items_count,
            'completed': counts.succeeded_count,
            'failed': counts.failed_count,
        },
        'metadata': row.metadata,
        'citrondyke': {
            'class': row.class_name,
            'deadline_at': _seconds(row.deadline_epoch_ms),
            'is_final': is_final,
        },
    }


def _seconds(epoch_ms: float | None) -> int | None:
    return None if epoch_ms is None else int(epoch_ms / 1e3)
