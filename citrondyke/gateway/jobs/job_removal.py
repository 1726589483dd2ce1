"""Deletion of jobs from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.jobs.job_rows import (
    COMMIT_ROWS,
    HEAD_KEY,
    HEADS_TABLE,
    ITEMS_TABLE,
    OPEN_TABLE,
    PROGRESS_TABLE,
    RESULTS_TABLE,
    CommitVerdict,
    StoredResult,
    items_object,
    unpack,
    unreadable_rows,
    verdict_of,
)
from citrondyke.ids import JobId, ObjectKey
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    PartConflict,
    PartTransaction,
    RowCondition,
    RowRemoval,
)

if TYPE_CHECKING:
    from citrondyke.gateway.jobs.job_rows import StoredHead
    from citrondyke.storage.object_store import ObjectStore
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('JobRemoval',)


class JobRemoval:
    """Lists all stored jobs and deletes single ones, fenced by the version of the head."""

    def __init__(self, table: PartitionedTable, objects: ObjectStore) -> None:
        """Initialize with the store's clients."""
        self._table = table
        self._objects = objects

    def all_jobs(self) -> list[JobId] | PlatformFailure:
        """List all stored jobs."""
        listed = self._table.list_all_parts(HEADS_TABLE)
        if isinstance(listed, PlatformFailure):
            return listed
        return [JobId(part) for part in listed]

    def delete(self, stored: StoredHead) -> CommitVerdict:
        """Delete a job whose retention time is over, its head last.

        As long as the head exists, the next sweep finds and continues an interrupted deletion.
        """
        job_id = stored.head.job_id
        if stored.head.in_objects:
            self._objects.delete(items_object(stored.head))
        for table in (RESULTS_TABLE, ITEMS_TABLE, PROGRESS_TABLE, OPEN_TABLE):
            listing = self._table.read_all(table, job_id)
            if isinstance(listing, PlatformFailure):
                return verdict_of(listing)
            for row in listing.rows:
                self._delete_object(table, row)
            verdict = self._remove_rows(stored, table, [row.key for row in listing.rows])
            if verdict is not CommitVerdict.DONE:
                return verdict
        return self._remove_rows(stored, HEADS_TABLE, [HEAD_KEY])

    def _remove_rows(self, stored: StoredHead, table: str, keys: list[str]) -> CommitVerdict:
        for start in range(0, len(keys), COMMIT_ROWS):
            wanted = PartTransaction(
                stored.head.job_id,
                (RowCondition(HEADS_TABLE, HEAD_KEY, stored.version),),
                (),
                tuple(RowRemoval(table, key) for key in keys[start : start + COMMIT_ROWS]),
            )
            answer = self._table.transact(wanted)
            if isinstance(answer, PartConflict):
                return CommitVerdict.FENCED
            if isinstance(answer, PlatformFailure):
                return verdict_of(answer)
        return CommitVerdict.DONE

    def _delete_object(self, table: str, row: PartRow) -> None:
        if table != RESULTS_TABLE:
            return
        try:
            stored = unpack(row.value or b'', StoredResult)
        except UnreadableBytesError as error:
            unreadable_rows.log_once(f'{table}/{row.part}/{row.key}', row.version, error.message)
            return
        if stored.object_key:
            self._objects.delete(ObjectKey(stored.object_key))
