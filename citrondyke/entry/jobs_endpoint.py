"""Endpoints for files and batch jobs."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import bottle
import msgspec

from citrondyke.decisions.configuration.entries import ClassKind
from citrondyke.decisions.core.ops import scan_rows
from citrondyke.decisions.jobs.job_request import (
    AcceptedJob,
    JobRejection,
    JobRejectionReason,
    JobRequest,
)
from citrondyke.decisions.jobs.rows import FileRow, job_index_prefix
from citrondyke.decisions.jobs.sweeper import JobCounts
from citrondyke.entry.bodies import decode_body, read_body
from citrondyke.entry.job_schemas import (
    BatchRequest,
    batch_fields,
    file_fields,
    parse_result_file_id,
)
from citrondyke.entry.online_endpoint import CLASS_HEADER, KEY_HEADER
from citrondyke.entry.responses import json_response
from citrondyke.entry.results import input_lines, result_lines
from citrondyke.entry.upload import Upload
from citrondyke.errors import (
    CitrondykeError,
    IdempotencyConflictError,
    InvalidFieldError,
    NotFoundError,
    OverloadedError,
    PlatformUnavailableError,
    RunState,
    UnknownClassError,
)
from citrondyke.ids import JobId
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from citrondyke.decisions.configuration.entries import TenantEntry
    from citrondyke.decisions.jobs.job_request import JobResult
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('JobsEndpoint', 'error_for_job_rejection')

WINDOWS = ('24h',)
PLATFORM_RETRY_MS = 2000.0
UPLOAD_RETRY_MS = 1000.0
LIST_LIMIT = 100


def error_for_job_rejection(rejection: JobRejection) -> CitrondykeError:
    """Return the error for a job or file that was rejected or not found."""
    match rejection.reason:
        case JobRejectionReason.NO_FILE:
            return NotFoundError('the file does not exist')
        case JobRejectionReason.NO_JOB:
            return NotFoundError('the job does not exist')
        case JobRejectionReason.WRONG_ENDPOINT:
            return InvalidFieldError('endpoint must equal the url of the lines of the file')
        case JobRejectionReason.UNKNOWN_TARGET:
            return UnknownClassError()
        case JobRejectionReason.KEY_CONFLICT:
            return IdempotencyConflictError()
        case JobRejectionReason.UNCERTAIN:
            return PlatformUnavailableError(
                'it is unknown whether the job was accepted; an identical retry gives the same job',
                run=RunState.UNKNOWN,
                retry_in_ms=PLATFORM_RETRY_MS,
            )
        case JobRejectionReason.PLATFORM_DOWN:
            return PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)


class JobsEndpoint:
    """Handles requests for files and jobs."""

    def __init__(self, context: EntryContext) -> None:
        """Initialize the endpoint."""
        self._context = context

    def upload(self) -> bytes:
        """Answer ``POST /v1/files``."""
        tenant = self._authenticate()
        if not self._context.uploads.acquire(blocking=False):
            raise OverloadedError(
                'too many concurrent uploads of job files', retry_in_ms=UPLOAD_RETRY_MS
            )
        try:
            upload = Upload(self._context)
            summary = upload.receive()
        finally:
            self._context.uploads.release()
        recorded = self._context.driver.run(
            self._context.instance.acceptance.record_file(
                tenant.id, upload.upload_id, upload.filename, summary
            )
        )
        if isinstance(recorded, JobRejection):
            raise error_for_job_rejection(recorded)
        return json_response(file_fields(*recorded))

    def files(self) -> bytes:
        """Answer ``GET /v1/files``."""
        tenant = self._authenticate()
        prefix = f'file/{tenant.id}/'
        rows = self._context.driver.run(scan_rows(prefix, '', LIST_LIMIT))
        if isinstance(rows, PlatformFailure):
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        data = [
            file_fields(row.key[len(prefix) :], msgspec.json.decode(row.value, type=FileRow))
            for row in rows
        ]
        return json_response({'object': 'list', 'data': data, 'has_more': len(rows) == LIST_LIMIT})

    def file(self, file_id: str) -> bytes:
        """Answer ``GET /v1/files/<id>``."""
        tenant = self._authenticate()
        result_file = parse_result_file_id(file_id)
        if result_file is not None:
            job = self._job(tenant, result_file[0])
            return json_response(
                {
                    'id': file_id,
                    'object': 'file',
                    'bytes': 0,
                    'created_at': int(job.row.created_epoch_ms / 1e3),
                    'filename': f'{file_id}.jsonl',
                    'purpose': 'batch_output',
                    'status': 'processed',
                }
            )
        return json_response(file_fields(file_id, self._file(tenant, file_id)))

    def content(self, file_id: str) -> Any:
        """Answer ``GET /v1/files/<id>/content``."""
        tenant = self._authenticate()
        bottle.response.content_type = 'application/jsonl'
        result_file = parse_result_file_id(file_id)
        if result_file is None:
            return _prefetch_first(input_lines(self._context, self._file(tenant, file_id)))
        job = self._job(tenant, result_file[0])
        parts = self._context.driver.run(self._context.instance.sweeper.parts(job.job_id))
        if parts is None:
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        lines = result_lines(self._context, job, parts, is_error=result_file[1])
        return _prefetch_first(lines)

    def create(self) -> bytes:
        """Answer ``POST /v1/batches``."""
        tenant = self._authenticate()
        limits = self._context.settings.limits
        body = read_body(limits.body_bytes, limits.body_within_ms)
        request = decode_body(body, BatchRequest)
        if request.completion_window not in WINDOWS:
            raise InvalidFieldError(f'completion_window must be one of {", ".join(WINDOWS)}')
        headers = bottle.request.headers
        class_entry = self._context.find_class(
            headers.get(CLASS_HEADER), tenant.batch_class, ClassKind.BATCH
        )
        accepted = self._context.driver.run(
            self._context.instance.acceptance.accept(
                JobRequest(
                    tenant_id=tenant.id,
                    file_id=request.input_file_id,
                    endpoint=request.endpoint,
                    class_name=class_entry.name,
                    completion_window=request.completion_window,
                    idempotency_key=headers.get(KEY_HEADER, ''),
                    metadata=request.metadata or {},
                )
            )
        )
        return self._respond(accepted)

    def batches(self) -> bytes:
        """Answer ``GET /v1/batches``."""
        tenant = self._authenticate()
        prefix = job_index_prefix(tenant.id)
        rows = self._context.driver.run(scan_rows(prefix, '', LIST_LIMIT))
        if isinstance(rows, PlatformFailure):
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        data = []
        for row in rows:
            job = self._job(tenant, row.key.rsplit('/', 1)[1])
            data.append(batch_fields(job, self._counts(job)))
        return json_response({'object': 'list', 'data': data, 'has_more': len(rows) == LIST_LIMIT})

    def batch(self, job_id: str) -> bytes:
        """Answer ``GET /v1/batches/<id>``."""
        return self._respond(self._job(self._authenticate(), job_id))

    def cancel(self, job_id: str) -> bytes:
        """Answer ``POST /v1/batches/<id>/cancel``."""
        tenant = self._authenticate()
        result = self._context.driver.run(
            self._context.instance.cancel_job(tenant.id, JobId(job_id))
        )
        return self._respond(result)

    def _authenticate(self) -> TenantEntry:
        return self._context.authenticate_tenant(bottle.request.headers.get('Authorization'))

    def _file(self, tenant: TenantEntry, file_id: str) -> FileRow:
        found = self._context.driver.run(
            self._context.instance.acceptance.find_file(tenant.id, file_id)
        )
        if isinstance(found, JobRejection):
            raise error_for_job_rejection(found)
        return found

    def _job(self, tenant: TenantEntry, job_id: str) -> AcceptedJob:
        found = self._context.driver.run(
            self._context.instance.acceptance.find_job(tenant.id, JobId(job_id))
        )
        if isinstance(found, JobRejection):
            raise error_for_job_rejection(found)
        return found

    def _counts(self, job: AcceptedJob) -> JobCounts:
        if job.row.state.is_final:
            return JobCounts(job.row.succeeded_count, job.row.failed_count)
        counts = self._context.driver.run(self._context.instance.sweeper.count(job.job_id))
        if counts is None:
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        return counts

    def _respond(self, result: JobResult) -> bytes:
        if isinstance(result, JobRejection):
            raise error_for_job_rejection(result)
        return json_response(batch_fields(result, self._counts(result)))


def _prefetch_first(parts: Iterator[bytes]) -> Iterator[bytes]:
    """Read the first part before the response starts, so that an error can set the status."""
    first = next(parts, b'')

    def rest() -> Iterator[bytes]:
        yield first
        yield from parts

    return rest()
