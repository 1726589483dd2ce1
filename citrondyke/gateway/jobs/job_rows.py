"""Rows of jobs: their tables, keys and values, and what a write of them came to."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeVar

import msgspec
import zstandard

from citrondyke.decisions.batch.job import ItemState, JobHead
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.ids import JobId, ObjectKey
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

#: Of the tables of jobs, whoever reads them.
unreadable_rows = UnreadableRows('jobs')

HEADS_TABLE = 'jobs'
HEAD_KEY = 'head'
#: A row in it says that a job is open; its parts are the open jobs.
OPEN_TABLE = 'jobs_open'
ITEMS_TABLE = 'jobs_items'
RESULTS_TABLE = 'jobs_results'
PROGRESS_TABLE = 'jobs_progress'
COMPRESSION_LEVEL = 3
#: Rows in one transaction, the head's included; the store takes 100.
COMMIT_ROWS = 90
#: Most that a chunk may unpack to; a caller's body is smaller.
UNPACKED_LIMIT_BYTES = 64 * 1024 * 1024


class StoredHead(msgspec.Struct, frozen=True):
    """A job's head and its row's version."""

    head: JobHead
    version: int


class NoJobReason(Enum):
    """Why there is no head to show."""

    #: There certainly is no such job.
    UNKNOWN = 'unknown'
    #: It belongs to another account.
    FOREIGN = 'foreign'
    #: The store did not say.
    UNCERTAIN = 'unsure'


class NoJob(msgspec.Struct, frozen=True):
    """Stands in the place of a head."""

    reason: NoJobReason

    def __bool__(self) -> bool:
        """Count as no job."""
        return False


class CommitVerdict(Enum):
    """What became of a write that needs the head unchanged."""

    DONE = 'done'
    #: The head changed: the job was ended or belongs to another instance now.
    FENCED = 'fenced'
    #: Nothing was written.
    NOT_WRITTEN = 'not_written'
    #: It may have been written or may still be; the same write may be tried again.
    IN_DOUBT = 'in_doubt'


class SavedProgress(msgspec.Struct, frozen=True):
    """How far an item had come when its job changed hands."""

    item_id: str
    #: ``None`` where it begins anew.
    last_event_id: int | None
    text: str
    failures_count: int = 0


class StoredResult(msgspec.Struct, frozen=True):
    """A result's row."""

    id: str
    state: ItemState
    text: str = ''
    #: Where a text that is larger than a row lies.
    object_key: str = ''


def decode_head(value: bytes) -> JobHead:
    """Decode a head's row.

    :raises UnreadableBytesError: when it is none.
    """
    return decode_json(value, JobHead)


def head_put(head: JobHead) -> RowPut:
    """Make the write of a head."""
    return RowPut(HEADS_TABLE, HEAD_KEY, msgspec.json.encode(head))


def stored_head(row: PartRow | None) -> StoredHead | NoJob:
    """Read a head's row; one that cannot be read says nothing of whether there is such a job."""
    if row is None or row.value is None:
        return NoJob(NoJobReason.UNKNOWN)
    try:
        return StoredHead(decode_head(row.value), row.version)
    except UnreadableBytesError as error:
        unreadable_rows.log_once(f'{HEADS_TABLE}/{row.part}', row.version, error.message)
        return NoJob(NoJobReason.UNCERTAIN)


def progress_put(progress: ItemProgress, limit_bytes: int) -> RowPut:
    """Make the write of how far an item has come."""
    saved = SavedProgress(
        progress.item.id,
        progress.last_event_id,
        '\n'.join(progress.texts),
        progress.failures_count,
    )
    value = pack(saved)
    if len(value) > limit_bytes:
        # The text is generated again; how often the item failed is what must be kept.
        value = pack(SavedProgress(progress.item.id, None, '', progress.failures_count))
    return RowPut(PROGRESS_TABLE, progress.item.id, value)


def verdict_of(failure: PlatformFailure) -> CommitVerdict:
    """Tell what a failed call leaves certain."""
    if failure.reason is PlatformFailureReason.AMBIGUOUS:
        return CommitVerdict.IN_DOUBT
    return CommitVerdict.NOT_WRITTEN


def position_key(value: int) -> str:
    """Make a key that sorts as its number."""
    return f'{value:08d}'


def items_object(job_id: JobId) -> ObjectKey:
    """Name the object of a job's items."""
    return ObjectKey(f'job-{job_id}-items')


def pack(value: object) -> bytes:
    """Encode and compress a value."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(msgspec.msgpack.encode(value))


def unpack(value: bytes, kind: type[Unpacked]) -> Unpacked:
    """Decode a value.

    :raises UnreadableBytesError: when it is none of this kind.
    """
    return decode_msgpack(decompress(value, UNPACKED_LIMIT_BYTES), kind)
