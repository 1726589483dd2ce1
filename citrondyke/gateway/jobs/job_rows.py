"""Rows of jobs: tables, keys, values, and the outcomes of writing them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import msgspec
import zstandard

from citrondyke.decisions.batch.job import ItemState, JobHead
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.ids import ObjectKey, ServiceName, SoftwareVersion
from citrondyke.storage.failure import PlatformFailure, PlatformFailureReason
from citrondyke.storage.partitioned_table import PartRow, RowPut
from citrondyke.util.decoding import decode_json, decode_msgpack, decompress

if TYPE_CHECKING:
    from citrondyke.decisions.batch.owned_job import ItemProgress

__all__ = (
    'CommitVerdict',
    'NoJob',
    'NoJobReason',
    'SavedProgress',
    'StoredHead',
    'StoredResult',
    'decode_head',
    'head_put',
    'items_object',
    'pack',
    'position_key',
    'progress_put',
    'stored_head',
    'unpack',
    'unreadable_rows',
    'verdict_of',
)

Unpacked = TypeVar('Unpacked')

#: Unreadable rows of all job tables, shared by all readers.
unreadable_rows = UnreadableRows('jobs')

HEADS_TABLE = 'jobs'
HEAD_KEY = 'head'
#: Has one row for each open job, in a part named by the job.
OPEN_TABLE = 'jobs_open'
ITEMS_TABLE = 'jobs_items'
RESULTS_TABLE = 'jobs_results'
PROGRESS_TABLE = 'jobs_progress'
COMPRESSION_LEVEL = 3
#: Rows in one transaction, including the head's; the store allows 100.
COMMIT_ROWS = 90
#: Largest decompressed size of a chunk; bodies of callers are smaller.
UNPACKED_LIMIT_BYTES = 64 * 1024 * 1024


class StoredHead(msgspec.Struct, frozen=True):
    """A job's head and the version of its row."""

    head: JobHead
    version: int


class NoJobReason(Enum):
    """Why no head is available."""

    #: It is certain that the job does not exist.
    UNKNOWN = 'unknown'
    #: The job belongs to another account.
    FOREIGN = 'foreign'
    #: The store call failed.
    UNCERTAIN = 'unsure'


class NoJob(msgspec.Struct, frozen=True):
    """Result of a read that returned no head."""

    reason: NoJobReason

    def __bool__(self) -> bool:
        """Return ``False``, so that the result is falsy."""
        return False


class CommitVerdict(Enum):
    """Outcome of a write that is conditional on an unchanged head."""

    DONE = 'done'
    #: The head changed: the job was ended or is now owned by another instance.
    FENCED = 'fenced'
    #: Nothing was written.
    NOT_WRITTEN = 'not_written'
    #: The write may have been applied or may still be; it is safe to retry the same write.
    UNCERTAIN = 'in_doubt'


class SavedProgress(msgspec.Struct, frozen=True):
    """Progress of an item, saved for the next owner of its job."""

    item_id: str
    #: ``None`` if the item starts from the beginning.
    last_event_id: int | None
    text: str
    failures_count: int = 0
    #: Origin of the text; left out by instances of an earlier version.
    service: ServiceName | msgspec.UnsetType = msgspec.UNSET
    software_version: SoftwareVersion | msgspec.UnsetType = msgspec.UNSET

    @property
    def origin(self) -> StreamOrigin | None:
        """Return the origin of the text; ``None`` if it is not stated."""
        if self.service is msgspec.UNSET or self.software_version is msgspec.UNSET:
            return None
        return StreamOrigin(self.service, self.software_version)


class StoredResult(msgspec.Struct, frozen=True):
    """Row of a result."""

    id: str
    state: ItemState
    text: str = ''
    #: Key of the object that holds a text too large for a row.
    object_key: str = ''


def decode_head(value: bytes) -> JobHead:
    """Decode the row of a head.

    :raises UnreadableBytesError: if the value is not a head.
    """
    return decode_json(value, JobHead)


def head_put(head: JobHead) -> RowPut:
    """Return the write of a head."""
    return RowPut(HEADS_TABLE, HEAD_KEY, msgspec.json.encode(head))


def stored_head(row: PartRow | None) -> StoredHead | NoJob:
    """Decode the row of a head; an unreadable row leaves it uncertain whether the job exists."""
    if row is None or row.value is None:
        return NoJob(NoJobReason.UNKNOWN)
    try:
        return StoredHead(decode_head(row.value), row.version)
    except UnreadableBytesError as error:
        unreadable_rows.log_once(f'{HEADS_TABLE}/{row.part}', row.version, error.message)
        return NoJob(NoJobReason.UNCERTAIN)
    except Exception:
        unreadable_rows.log_failure(f'{HEADS_TABLE}/{row.part}', row.version)
        return NoJob(NoJobReason.UNCERTAIN)


def progress_put(progress: ItemProgress, limit_bytes: int) -> RowPut:
    """Return the write of an item's progress."""
    saved = SavedProgress(
        progress.item.id,
        progress.last_event_id,
        '\n'.join(progress.texts),
        progress.failures_count,
        msgspec.UNSET if progress.origin is None else progress.origin.service,
        msgspec.UNSET if progress.origin is None else progress.origin.version,
    )
    value = pack(saved)
    if len(value) > limit_bytes:
        # The text can be generated again, but the number of failures must be preserved.
        value = pack(SavedProgress(progress.item.id, None, '', progress.failures_count))
    return RowPut(PROGRESS_TABLE, progress.item.id, value)


def verdict_of(failure: PlatformFailure) -> CommitVerdict:
    """Map a failed store call to the outcome of its write."""
    if failure.reason is PlatformFailureReason.AMBIGUOUS:
        return CommitVerdict.UNCERTAIN
    return CommitVerdict.NOT_WRITTEN


def position_key(value: int) -> str:
    """Return a key that sorts in numeric order."""
    return f'{value:08d}'


def items_object(head: JobHead) -> ObjectKey:
    """Return the key of the object that holds a job's items.

    The object is written before it is known whether the job is accepted. It is named by its
    content, so that another submission with the same job id cannot replace it.
    """
    name = f'job-{head.job_id}-items'
    return ObjectKey(f'{name}-{head.items_digest}' if head.items_digest else name)


def pack(value: object) -> bytes:
    """Encode and compress a value."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(msgspec.msgpack.encode(value))


def unpack(value: bytes, kind: type[Unpacked]) -> Unpacked:
    """Decompress and decode a value.

    :raises UnreadableBytesError: if the value is not of this type.
    """
    return decode_msgpack(decompress(value, UNPACKED_LIMIT_BYTES), kind)
