"""Stored jobs: one table part per job, with all writes fenced by the job's head."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.job import ItemResult, JobHead, JobItem
from citrondyke.decisions.batch.owned_job import COMMIT_BYTES
from citrondyke.gateway.jobs.job_contents import JobContents
from citrondyke.gateway.jobs.job_rows import (
    COMMIT_ROWS,
    HEAD_KEY,
    HEADS_TABLE,
    ITEMS_TABLE,
    OPEN_TABLE,
    RESULTS_TABLE,
    CommitVerdict,
    NoJob,
    NoJobReason,
    StoredHead,
    StoredResult,
    head_put,
    items_object,
    pack,
    position_key,
    progress_put,
    stored_head,
    verdict_of,
)
from citrondyke.ids import InstanceId, JobId, ObjectKey
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    IMPOSSIBLE_VERSION,
    PartCommitted,
    PartConflict,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)
from citrondyke.util.hashing import digest_hex

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from citrondyke.decisions.batch.owned_job import ItemProgress, OwnedJob
    from citrondyke.storage.object_store import ObjectStore
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('JobStore',)

#: Larger items go into an object: a transaction holds 1 MB, with values encoded in base64.
INLINE_BYTES = 500_000
#: Hexadecimal digits of the digest that names an object.
DIGEST_DIGITS = 20
#: Part of a row's largest value that is reserved for the fields around a text.
ROW_MARGIN_BYTES = 1_024
UNCERTAIN = NoJob(NoJobReason.UNCERTAIN)


class JobStore(JobContents):
    """Reads and writes jobs; every result distinguishes known from uncertain outcomes."""

    def __init__(self, table: PartitionedTable, objects: ObjectStore, row_bytes: int) -> None:
        """Initialize with the store's clients.

        :param row_bytes: largest value of a row.
        """
        super().__init__(table, objects)
        self._row_bytes = row_bytes - ROW_MARGIN_BYTES

    @property
    def mean_latency_ms(self) -> float:
        """Return the mean latency of store calls."""
        return self._table.mean_latency_ms

    def accept(self, head: JobHead, items: Sequence[JobItem]) -> StoredHead | CommitVerdict:
        """Store a job once; return the stored head if the same job was accepted before."""
        packed = pack(list(items))
        chunks = [
            packed[start : start + self._row_bytes]
            for start in range(0, len(packed), self._row_bytes)
        ]
        in_objects = len(packed) > INLINE_BYTES
        digest = digest_hex(packed)[:DIGEST_DIGITS] if in_objects else msgspec.UNSET
        head = msgspec.structs.replace(
            head, chunks_count=len(chunks), in_objects=in_objects, items_digest=digest
        )
        puts = [head_put(head), RowPut(OPEN_TABLE, HEAD_KEY, b'1')]
        if in_objects:
            failure = self._objects.put(items_object(head), packed)
            if failure is not None:
                return CommitVerdict.NOT_WRITTEN
        else:
            puts += [RowPut(ITEMS_TABLE, position_key(n), chunk) for n, chunk in enumerate(chunks)]
        wanted = PartTransaction(
            head.job_id, (RowCondition(HEADS_TABLE, HEAD_KEY, 0),), tuple(puts)
        )
        answer = self._table.transact(wanted)
        if isinstance(answer, PartCommitted):
            return StoredHead(head, answer.version)
        if isinstance(answer, PartConflict):
            found = stored_head(answer.row(HEADS_TABLE, HEAD_KEY))
            if not isinstance(found, StoredHead):
                return CommitVerdict.UNCERTAIN
            if in_objects and items_object(found.head) != items_object(head):
                self._objects.delete(items_object(head))
            return found
        return verdict_of(answer)

    def current_head(self, job_id: JobId) -> StoredHead | NoJob:
        """Read a job's current head.

        The condition of the transaction never holds; its conflict returns the current row, whereas
        a plain read may be stale.
        """
        wanted = PartTransaction(job_id, (RowCondition(HEADS_TABLE, HEAD_KEY, IMPOSSIBLE_VERSION),))
        answer = self._table.transact(wanted)
        if not isinstance(answer, PartConflict):
            return UNCERTAIN
        return stored_head(answer.row(HEADS_TABLE, HEAD_KEY))

    def read_head(self, job_id: JobId) -> StoredHead | NoJob:
        """Read a job's head by a plain read, which may be some seconds old."""
        page = self._table.read(HEADS_TABLE, job_id)
        if isinstance(page, PlatformFailure) or not page.rows:
            return UNCERTAIN
        return stored_head(page.rows[0])

    def change_head(self, stored: StoredHead, head: JobHead) -> StoredHead | CommitVerdict:
        """Replace a job's head if its version is unchanged since it was read."""
        wanted = PartTransaction(
            head.job_id,
            (RowCondition(HEADS_TABLE, HEAD_KEY, stored.version),),
            (head_put(head),),
            (RowRemoval(OPEN_TABLE, HEAD_KEY),) if head.is_ended else (),
        )
        answer = self._table.transact(wanted)
        if isinstance(answer, PartCommitted):
            return StoredHead(head, answer.version)
        if isinstance(answer, PartConflict):
            found = stored_head(answer.row(HEADS_TABLE, HEAD_KEY))
            # The reply of an earlier attempt was lost: the row already has the new value.
            if isinstance(found, StoredHead) and found.head == head:
                return found
            return CommitVerdict.FENCED
        return verdict_of(answer)

    def commit(self, job: OwnedJob, results: Sequence[ItemResult]) -> CommitVerdict:
        """Write results at the next positions if this instance still owns the job.

        The positions must be free. If the reply of an earlier attempt was lost, the conflict
        returns the rows that it wrote, and they are not written a second time.
        """
        head = job.head
        first = len(job.results)
        is_last = job.completes_job(list(results))
        conditions = [RowCondition(HEADS_TABLE, HEAD_KEY, job.version)]
        puts = []
        for position, result in enumerate(results, first):
            value = self._result_value(head.job_id, position, result)
            if isinstance(value, PlatformFailure):
                return verdict_of(value)
            conditions.append(RowCondition(RESULTS_TABLE, position_key(position), 0))
            puts.append(RowPut(RESULTS_TABLE, position_key(position), value))
        removals: list[RowRemoval] = []
        done_head = msgspec.structs.replace(head, is_done=True)
        if is_last:
            puts.append(head_put(done_head))
            removals.append(RowRemoval(OPEN_TABLE, HEAD_KEY))
        answer = self._table.transact(
            PartTransaction(head.job_id, tuple(conditions), tuple(puts), tuple(removals))
        )
        if isinstance(answer, PartCommitted):
            job.record_committed(list(results), answer.version if is_last else None)
            return CommitVerdict.DONE
        if isinstance(answer, PlatformFailure):
            return verdict_of(answer)
        return self._resolve_conflict(job, results, answer, puts, done_head if is_last else head)

    def release(self, job: OwnedJob, progress: Sequence[ItemProgress]) -> CommitVerdict:
        """Release the ownership of a job and save its items' progress for the next owner."""
        head = msgspec.structs.replace(
            job.head,
            owner=InstanceId(''),
            owner_life='',
            life_before=job.head.owner_life,
        )
        begun = [each for each in progress if each.last_event_id is not None or each.failures_count]
        *earlier, last = self._progress_batches(begun)
        verdict = self._save_batches(job, earlier)
        if verdict is not CommitVerdict.DONE:
            return verdict
        return self._put_while_owned(job, [head_put(head), *last])

    def save_progress(self, job: OwnedJob, progress: Sequence[ItemProgress]) -> CommitVerdict:
        """Save the progress and the number of failures of items for the next owner.

        Otherwise an item that fails at each run would be retried by every owner, endlessly during
        a rolling restart, and everything that the items of a killed owner had generated would be
        generated again.
        """
        return self._save_batches(job, self._progress_batches(progress))

    def _progress_batches(self, progress: Iterable[ItemProgress]) -> list[list[RowPut]]:
        """Divide the writes of progress into transactions; the last one may be empty."""
        batches: list[list[RowPut]] = [[]]
        size = 0
        for each in progress:
            put = progress_put(each, self._row_bytes)
            size += len(put.value)
            if batches[-1] and (size > COMMIT_BYTES or len(batches[-1]) >= COMMIT_ROWS):
                batches.append([])
                size = len(put.value)
            batches[-1].append(put)
        return batches

    def _save_batches(self, job: OwnedJob, batches: Iterable[list[RowPut]]) -> CommitVerdict:
        for batch in batches:
            verdict = self._put_while_owned(job, batch)
            if verdict is not CommitVerdict.DONE:
                return verdict
        return CommitVerdict.DONE

    def _put_while_owned(self, job: OwnedJob, puts: Sequence[RowPut]) -> CommitVerdict:
        answer = self._table.transact(
            PartTransaction(
                job.head.job_id,
                (RowCondition(HEADS_TABLE, HEAD_KEY, job.version),),
                tuple(puts),
            )
        )
        if isinstance(answer, PartCommitted):
            return CommitVerdict.DONE
        return CommitVerdict.FENCED if isinstance(answer, PartConflict) else verdict_of(answer)

    def open_jobs(self) -> list[JobId] | PlatformFailure:
        """Return the open jobs; the list may be some seconds old."""
        listed = self._table.list_all_parts(OPEN_TABLE)
        if isinstance(listed, PlatformFailure):
            return listed
        return [JobId(part) for part in listed]

    def _resolve_conflict(
        self,
        job: OwnedJob,
        results: Sequence[ItemResult],
        conflict: PartConflict,
        puts: Sequence[RowPut],
        head: JobHead,
    ) -> CommitVerdict:
        """Distinguish an earlier attempt whose reply was lost from a fenced commit."""
        for put in puts:
            row = conflict.row(put.table, put.key)
            if row is None or row.value != put.value:
                return CommitVerdict.FENCED
        found = stored_head(conflict.row(HEADS_TABLE, HEAD_KEY))
        if not isinstance(found, StoredHead) or found.head != head:
            return CommitVerdict.FENCED
        job.record_committed(list(results), found.version if head.is_done else None)
        return CommitVerdict.DONE

    def _result_value(
        self, job_id: JobId, position: int, result: ItemResult
    ) -> bytes | PlatformFailure:
        value = pack(StoredResult(result.id, result.state, result.text))
        if len(value) <= self._row_bytes:
            return value
        key = ObjectKey(f'job-{job_id}-result-{position}-{result.id}')
        failure = self._objects.put(key, pack(result.text))
        if failure is not None:
            return failure
        return pack(StoredResult(result.id, result.state, object_key=key))
