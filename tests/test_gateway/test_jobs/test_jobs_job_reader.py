"""Readers at instances that do not own the job."""

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
    """Lets others run while a read is on its way."""

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        answer = super().read(table, part, from_key, limit)
        gevent.sleep(0)
        return answer


def test_two_readers_at_once_see_each_result_once() -> None:
    # Two callers read a job at the same instance at the same moment, and both ask the store for
    # what lies behind the same position. Each caller sees every item at one position only.
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


def test_remembered_jobs_stay_within_their_bound() -> None:
    # An instance answers callers of very many jobs. Memory of those that it forgets must be given
    # back whole: what is counted must be what is held, or the bound on it means nothing.
    reader = JobReader(manual_context(), JobStore(FlakyTable(), MemoryObjects(), 65_536))
    for number in range(CACHE_BYTES // HEAD_BYTES + 1_000):
        reader.cache_head(msgspec.structs.replace(new_head(0), job_id=JobId(f'{number:016x}')))
    assert reader.cached_bytes == reader.cached_count * HEAD_BYTES
    assert reader.cached_bytes <= CACHE_BYTES


def test_results_of_a_forgotten_job_are_not_counted() -> None:
    # A caller waits for a result of a job, and the job is forgotten meanwhile since many others
    # are asked for. What comes then is held by nobody but the caller's own answer.
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
