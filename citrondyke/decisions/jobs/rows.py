"""Stored rows of files, jobs and segments, and their keys."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import ClassName, JobId, ObjectKey, RowKey, SessionId, TargetName, TenantId
from citrondyke.util.numbers import read_count

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
    """An uploaded job file; its segments are in the object store."""

    upload_id: str
    filename: str
    purpose: str
    size_bytes: int
    items_count: int
    segments_count: int
    #: Items in each segment except the last; kept here, because the setting may change before a job
    #: is created from the file.
    segment_items: int
    digest: str
    #: The one target of all its items.
    target: TargetName
    #: The path of all its items.
    url: str
    created_epoch_ms: float


class JobState(Enum):
    """State of a job."""

    RUNNING = 'running'
    #: Accepts no further outcomes of work; the remaining items are being closed.
    CANCELLING = 'cancelling'
    EXPIRING = 'expiring'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self in (JobState.COMPLETED, JobState.CANCELLED, JobState.EXPIRED)


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job; written only at its acceptance, its stop and its end.

    Claims and commits check its version, so that none takes effect after a cancellation.
    """

    tenant_id: TenantId
    class_name: ClassName
    target: TargetName
    endpoint: str
    file_id: str
    upload_id: str
    items_count: int
    segments_count: int
    #: Items in each segment except the last, as in the file's row.
    segment_items: int
    #: Digest of input, endpoint and class; reusing an idempotency key with another is a conflict.
    digest: str
    state: JobState
    created_epoch_ms: float
    #: Due time by the target of its class.
    deadline_epoch_ms: float
    #: When the remaining items are given up.
    expires_epoch_ms: float
    completion_window: str = '24h'
    metadata: dict[str, str] = msgspec.field(default_factory=dict)
    stopped_epoch_ms: float | None = None
    finished_epoch_ms: float | None = None
    succeeded_count: int = 0
    failed_count: int = 0


class OpenRow(msgspec.Struct, frozen=True, kw_only=True):
    """A job that is not finished; keys sort by deadline within a target."""

    tenant_id: TenantId
    segments_count: int
    #: Number of segments whose todo rows were written so far.
    materialized_count: int
    expires_epoch_ms: float
    is_stopping: bool = False


class TodoRow(msgspec.Struct, frozen=True, kw_only=True):
    """A segment with items that have no visible outcome yet."""

    items_count: int
    #: Bitmap of the items without an outcome.
    remaining: str
    #: Incremented by each claim; fences earlier holders.
    fence: int = 0
    #: The session that holds the segment; empty if it is free.
    owner: SessionId | str = ''
    #: Bitmap of the items that may have been dispatched and have no outcome. Kept for segments
    #: whose items may not be repeated, and for those whose holder has died before.
    started: str = ''
    #: Bitmap of the items that were running when a holder died.
    suspects: str = ''
    #: Number of holders that died while holding the segment.
    deaths: int = 0
    #: Failed attempts by item position.
    attempts: dict[int, int] = msgspec.field(default_factory=dict)
    parts_count: int = 0


class PartKind(Enum):
    """How the outcomes of a part are represented."""

    #: Stored in objects.
    RESULTS = 'results'
    #: The items were not run, because the job was cancelled.
    CANCELLED = 'cancelled'
    #: The items were not run, because the job expired.
    EXPIRED = 'expired'


class PartRow(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes that became visible together; immutable."""

    kind: PartKind
    #: Bitmap of its items.
    items: str
    #: Object with the outcomes of answered items; empty if there are none.
    output_key: ObjectKey | str = ''
    #: Object with the outcomes of failed items; empty if there are none.
    error_key: ObjectKey | str = ''
    succeeded_count: int = 0
    failed_count: int = 0
    finished_epoch_ms: float


def file_row_key(tenant_id: TenantId, file_id: str) -> RowKey:
    """Return the key of a file's row."""
    return RowKey(f'file/{tenant_id}/{file_id}')


def input_object_key(upload_id: str, segment: int) -> ObjectKey:
    """Return the key of the object with a segment's input lines."""
    return ObjectKey(f'input/{upload_id}/{segment:06d}')


def job_row_key(job_id: JobId) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(f'job/{job_id}')


def job_index_prefix(tenant_id: TenantId) -> str:
    """Return the key prefix of a tenant's jobs, newest first."""
    return f'jobs-of/{tenant_id}/'


def job_index_key(tenant_id: TenantId, created_epoch_ms: float, job_id: JobId) -> RowKey:
    """Return the key of a job in its tenant's list; keys sort the newest job first."""
    newest_first = 10**15 - int(created_epoch_ms)
    return RowKey(f'{job_index_prefix(tenant_id)}{newest_first:015d}/{job_id}')


def open_prefix(target: TargetName) -> str:
    """Return the key prefix of a target's open jobs."""
    return f'open/{target.replace("%", "%25").replace("/", "%2F")}/'


def open_row_key(target: TargetName, deadline_epoch_ms: float, job_id: JobId) -> RowKey:
    """Return the key of an open job; keys sort by deadline."""
    return RowKey(f'{open_prefix(target)}{int(deadline_epoch_ms):015d}/{job_id}')


def todo_prefix(job_id: JobId) -> str:
    """Return the key prefix of a job's segments with work left."""
    return f'todo/{job_id}/'


def todo_row_key(job_id: JobId, segment: int) -> RowKey:
    """Return the key of a segment with work left."""
    return RowKey(f'{todo_prefix(job_id)}{segment:06d}')


def part_prefix(job_id: JobId) -> str:
    """Return the key prefix of a job's visible outcomes."""
    return f'done/{job_id}/'


def part_row_key(job_id: JobId, segment: int, part: int) -> RowKey:
    """Return the key of one part of a segment's outcomes."""
    return RowKey(f'{part_prefix(job_id)}{segment:06d}/{part:04d}')


def segment_of_key(key: RowKey) -> int:
    """Extract the segment number from the key of a todo row.

    :raises UnreadableBytesError: if the key has none.
    """
    return read_count(key.rpartition('/')[2], 'segment in a key')


def segment_of_part(key: RowKey) -> int:
    """Extract the segment number from the key of a part row.

    :raises UnreadableBytesError: if the key has none.
    """
    return read_count(key.rpartition('/')[0].rpartition('/')[2], 'segment in a key')
