"""Reads at instances that do not own the job."""

from __future__ import annotations

import gevent
import msgspec

from citrondyke.decisions.batch.job import ItemResult, ItemState
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.gateway.jobs.job_reader import (
    CACHE_BYTES,
    HEAD_BYTES,
    JobReader,
    JobView,
)
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.ids import JobId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import Listing
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import ITEMS, JOB, new_head


class SlowTable(FlakyTable):
    """A table that switches to other greenlets during each read."""

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        answer = super().read(table, part, from_key, limit)
        gevent.sleep(0)
        return answer


def test_concurrent_readers_get_each_result_once() -> None:
    # Several callers read a job at the same instance concurrently, and each read requests the
    # results after the same position from the store. Each caller must get every item once.
    store = JobStore(SlowTable(), MemoryObjects(), 65_536)
    accepted = store.accept(new_head(0), ITEMS)
    assert isinstance(accepted, StoredHead)
    job = OwnedJob(accepted.head, accepted.version, ITEMS)
    results = [ItemResult(item.id, ItemState.COMPLETED, item.id) for item in ITEMS[:3]]
    assert store.commit(job, results) is CommitVerdict.DONE
    reader = JobReader(manual_context(), store)
    view = reader.view(JOB)
    assert isinstance(view, JobView)
    greenlets = [gevent.spawn(reader.results, view, 0, 0.0) for _ in range(3)]
    gevent.joinall(greenlets)
    assert [each.value for each in greenlets] == [results] * 3
    assert view.results == results


def test_cache_stays_within_its_size_limit() -> None:
    # An instance serves readers of very many jobs. Evicting a job must release all the bytes that
    # were counted for it: otherwise the count drifts and the limit is not effective.
    reader = JobReader(manual_context(), JobStore(FlakyTable(), MemoryObjects(), 65_536))
    for number in range(CACHE_BYTES // HEAD_BYTES + 1_000):
        reader.cache_head(msgspec.structs.replace(new_head(0), job_id=JobId(f'{number:016x}')))
    assert reader.cached_bytes == reader.cached_count * HEAD_BYTES
    assert reader.cached_bytes <= CACHE_BYTES


def test_results_of_an_evicted_job_are_not_counted() -> None:
    # While a caller waits for a result, its job is evicted because many other jobs are read. The
    # results that arrive afterwards are referenced only by the caller's response and must not be
    # counted.
    store = JobStore(FlakyTable(), MemoryObjects(), 65_536)
    accepted = store.accept(new_head(0), ITEMS)
    assert isinstance(accepted, StoredHead)
    job = OwnedJob(accepted.head, accepted.version, ITEMS)
    reader = JobReader(manual_context(), store)
    view = reader.view(JOB)
    assert isinstance(view, JobView)
    for number in range(CACHE_BYTES // HEAD_BYTES):
        reader.cache_head(msgspec.structs.replace(new_head(0), job_id=JobId(f'{number:016x}')))
    results = [ItemResult(item.id, ItemState.COMPLETED, 'x' * 1_000) for item in ITEMS[:3]]
    assert store.commit(job, results) is CommitVerdict.DONE
    assert reader.results(view, 0, 0.0) == results
    assert reader.cached_bytes == reader.cached_count * HEAD_BYTES
