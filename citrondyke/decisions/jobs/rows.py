"""The rows of files, jobs and segments, and the keys they stand under."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import ClassName, JobId, ObjectKey, RowKey, SessionId, TargetName, TenantId

__all__ = (
    'FileRow',
    'JobRow',
    'JobState',
    'OpenRow',
    'PartKind',
    'PartRow',
    'TodoRow',
    'file_row_key',
    'input_object_key',
    'job_index_key',
    'job_index_prefix',
    'job_row_key',
    'open_prefix',
    'open_row_key',
    'part_prefix',
    'part_row_key',
    'segment_of_key',
    'segment_of_part',
    'todo_prefix',
    'todo_row_key',
)


class FileRow(msgspec.Struct, frozen=True, kw_only=True):
    """An uploaded job file; its segments lie in the object store."""

    upload_id: str
    filename: str
    purpose: str
    size_bytes: int
    items_count: int
    segments_count: int
    #: Items in each segment but the last; the setting may change before a job is made of it.
    segment_items: int
    digest: str
    #: The one target of all its items.
    target: TargetName
    #: The path of all its items.
    url: str
    created_epoch_ms: float


class JobState(Enum):
    """Where a job is."""

    RUNNING = 'running'
    #: Accepts no more outcomes of work; what is left is being closed.
    CANCELLING = 'cancelling'
    EXPIRING = 'expiring'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'

    @property
    def is_final(self) -> bool:
        """Tell whether nothing changes any more."""
        return self in (JobState.COMPLETED, JobState.CANCELLED, JobState.EXPIRED)


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job. Written at its acceptance, its cancellation and its end only.

    Claims and commits check its version, so that after a cancellation none takes effect.
    """

    tenant_id: TenantId
    class_name: ClassName
    target: TargetName
    endpoint: str
    file_id: str
    upload_id: str
    items_count: int
    segments_count: int
    #: Items in each segment but the last, as its file was cut.
    segment_items: int
    #: Of input, endpoint and class: the same key with other content is a conflict.
    digest: str
    state: JobState
    created_epoch_ms: float
    #: When its class's target wants it done.
    deadline_epoch_ms: float
    #: When what is left is given up.
    expires_epoch_ms: float
    completion_window: str = '24h'
    metadata: dict[str, str] = msgspec.field(default_factory=dict)
    stopped_epoch_ms: float | None = None
    finished_epoch_ms: float | None = None
    succeeded_count: int = 0
    failed_count: int = 0


class OpenRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job that is not over, in the order of deadlines for its target."""

    tenant_id: TenantId
    segments_count: int
    #: Segments whose todo rows were written so far.
    materialized_count: int
    expires_epoch_ms: float
    is_stopping: bool = False


class TodoRow(msgspec.Struct, frozen=True, kw_only=True):
    """A segment with items that have no outcome yet."""

    items_count: int
    #: Bitmap of the items without an outcome.
    remaining: str
    #: Raised by each claim.
    fence: int = 0
    #: The session that holds it; empty when free.
    owner: SessionId | str = ''
    #: Bitmap of the items that may have been dispatched and have no outcome. Kept for segments
    #: that may not be repeated, and for those whose holder died before.
    started: str = ''
    #: Bitmap of the items that ran when a holder died.
    suspects: str = ''
    #: Holders that died with it.
    deaths: int = 0
    #: Attempts of items that failed, by position.
    attempts: dict[int, int] = msgspec.field(default_factory=dict)
    parts_count: int = 0


class PartKind(Enum):
    """Where the outcomes of a part are."""

    #: In an object of its own.
    RESULTS = 'results'
    #: Not run, as the job was cancelled.
    CANCELLED = 'cancelled'
    #: Not run, as the job's window closed.
    EXPIRED = 'expired'


class PartRow(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes that became visible together; never changed."""

    kind: PartKind
    #: Bitmap of its items.
    items: str
    #: Outcomes of items that were answered; empty for none.
    output_key: ObjectKey | str = ''
    #: Outcomes of items that failed; empty for none.
    error_key: ObjectKey | str = ''
    succeeded_count: int = 0
    failed_count: int = 0
    finished_epoch_ms: float


def file_row_key(tenant_id: TenantId, file_id: str) -> RowKey:
    """Give the key of a file's row."""
    return RowKey(f'file/{tenant_id}/{file_id}')


def input_object_key(upload_id: str, segment: int) -> ObjectKey:
    """Give the key of a segment's input lines."""
    return ObjectKey(f'input/{upload_id}/{segment:06d}')


def job_row_key(job_id: JobId) -> RowKey:
    """Give the key of a job's row."""
    return RowKey(f'job/{job_id}')


def job_index_prefix(tenant_id: TenantId) -> str:
    """Give the prefix of a tenant's jobs, newest first."""
    return f'jobs-of/{tenant_id}/'


def job_index_key(tenant_id: TenantId, created_epoch_ms: float, job_id: JobId) -> RowKey:
    """Give the key of a job in its tenant's list; it sorts the newest first."""
    newest_first = 10**15 - int(created_epoch_ms)
    return RowKey(f'{job_index_prefix(tenant_id)}{newest_first:015d}/{job_id}')


def open_prefix(target: TargetName) -> str:
    """Give the prefix of a target's open jobs."""
    return f'open/{target.replace("%", "%25").replace("/", "%2F")}/'


def open_row_key(target: TargetName, deadline_epoch_ms: float, job_id: JobId) -> RowKey:
    """Give the key of an open job; it sorts by deadline."""
    return RowKey(f'{open_prefix(target)}{int(deadline_epoch_ms):015d}/{job_id}')


def todo_prefix(job_id: JobId) -> str:
    """Give the prefix of a job's segments with work left."""
    return f'todo/{job_id}/'


def todo_row_key(job_id: JobId, segment: int) -> RowKey:
    """Give the key of a segment with work left."""
    return RowKey(f'{todo_prefix(job_id)}{segment:06d}')


def part_prefix(job_id: JobId) -> str:
    """Give the prefix of a job's visible outcomes."""
    return f'done/{job_id}/'


def part_row_key(job_id: JobId, segment: int, part: int) -> RowKey:
    """Give the key of one part of a segment's outcomes."""
    return RowKey(f'{part_prefix(job_id)}{segment:06d}/{part:04d}')


def segment_of_key(key: RowKey) -> int:
    """Read the segment's number out of a todo row's key."""
    return int(key.rsplit('/', 1)[1])


def segment_of_part(key: RowKey) -> int:
    """Read the segment's number out of a part row's key."""
    return int(key.rsplit('/', 2)[1])
