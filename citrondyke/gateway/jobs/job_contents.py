"""Reads of the stored items, results and progress of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from citrondyke.decisions.batch.job import ItemResult, JobHead, JobItem
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.jobs.job_rows import (
    ITEMS_TABLE,
    PROGRESS_TABLE,
    RESULTS_TABLE,
    SavedProgress,
    StoredResult,
    items_object,
    position_key,
    unpack,
    unreadable_rows,
)
from citrondyke.ids import JobId, ObjectKey
from citrondyke.storage.failure import UNREADABLE, PlatformFailure, PlatformFailureReason

if TYPE_CHECKING:
    from citrondyke.storage.object_store import ObjectStore
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('JobContents',)

Read = TypeVar('Read')


class JobContents:
    """Reads the contents of jobs from the table and the object store."""

    def __init__(self, table: PartitionedTable, objects: ObjectStore) -> None:
        """Initialize with the store's clients."""
        self._table = table
        self._objects = objects

    def items(self, head: JobHead) -> list[JobItem] | PlatformFailure:
        """Read a job's items."""
        if head.in_objects:
            packed = self._objects.get(items_object(head))
            if isinstance(packed, PlatformFailure):
                return packed
            return _read(f'{ITEMS_TABLE}/{head.job_id}', 0, packed, list[JobItem])
        rows = self._rows(ITEMS_TABLE, head.job_id)
        if isinstance(rows, PlatformFailure):
            return rows
        if len(rows) < head.chunks_count:
            # A stale read from before the acceptance: a later one returns all chunks.
            return PlatformFailure(PlatformFailureReason.UNAVAILABLE)
        if not rows:
            # The head states no chunks, as another writer's may.
            return UNREADABLE
        packed = b''.join(row.value or b'' for row in rows)
        return _read(f'{ITEMS_TABLE}/{head.job_id}', rows[0].version, packed, list[JobItem])

    def results(
        self, job_id: JobId, after: int, at_least_version: int = 0
    ) -> list[ItemResult] | PlatformFailure:
        """Read results from a position on.

        :param at_least_version: table version below which a read is stale and fails.
        """
        rows = self._rows(
            RESULTS_TABLE, job_id, position_key(after) if after else '', at_least_version
        )
        if isinstance(rows, PlatformFailure):
            return rows
        found = []
        for position, row in enumerate(rows, after):
            if row.key != position_key(position):
                break
            result = self._result(row)
            if isinstance(result, PlatformFailure):
                return result
            found.append(result)
        return found

    def progress(self, job_id: JobId) -> list[SavedProgress] | PlatformFailure:
        """Read the progress that an earlier owner saved."""
        rows = self._rows(PROGRESS_TABLE, job_id)
        if isinstance(rows, PlatformFailure):
            return rows
        found = (_read_row(row, SavedProgress) for row in rows)
        # Items with unreadable progress are generated from the start.
        return [each for each in found if isinstance(each, SavedProgress)]

    def _rows(
        self, table: str, job_id: JobId, from_key: str = '', at_least_version: int = 0
    ) -> tuple[PartRow, ...] | PlatformFailure:
        listing = self._table.read_all(table, job_id, from_key)
        if isinstance(listing, PlatformFailure):
            return listing
        if listing.version < at_least_version:
            return PlatformFailure(PlatformFailureReason.UNAVAILABLE)
        return listing.rows

    def _result(self, row: PartRow) -> ItemResult | PlatformFailure:
        stored = _read_row(row, StoredResult)
        if isinstance(stored, PlatformFailure):
            return stored
        if not stored.object_key:
            return ItemResult(stored.id, stored.state, stored.text)
        packed = self._objects.get(ObjectKey(stored.object_key))
        if isinstance(packed, PlatformFailure):
            return packed
        text = _read(stored.object_key, row.version, packed, str)
        if isinstance(text, PlatformFailure):
            return text
        return ItemResult(stored.id, stored.state, text)


def _read_row(row: PartRow, kind: type[Read]) -> Read | PlatformFailure:
    return _read(f'{row.table}/{row.part}/{row.key}', row.version, row.value or b'', kind)


def _read(name: str, version: int, value: bytes, kind: type[Read]) -> Read | PlatformFailure:
    """Decode a value; an unreadable one is logged once."""
    try:
        return unpack(value, kind)
    except UnreadableBytesError as error:
        unreadable_rows.log_once(name, version, error.message)
        return UNREADABLE
    except Exception:
        unreadable_rows.log_failure(name, version)
        return UNREADABLE
