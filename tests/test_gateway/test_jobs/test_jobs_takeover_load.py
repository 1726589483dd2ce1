"""Tests that a few instances that take over all jobs hold no more than their memory allows."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import cast

import gevent
import msgspec
import pytest

from citrondyke.decisions.batch.job import JobHead, JobItem
from citrondyke.decisions.batch.owned_job import RunResult
from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.gateway.jobs.job_claimer import CLAIMS_LIMIT, JobClaimer
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.gateway.jobs.job_runner import JobRunner
from citrondyke.gateway.jobs.job_store import INLINE_BYTES, JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import JobId
from citrondyke.storage.failure import PlatformFailure
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.support.gateway import wait_until_seen
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import new_head

JOBS, ITEMS, BODY_BYTES = 60, 4, 1_000
LARGE_JOBS = 8
JOB_BYTES = ITEMS * BODY_BYTES
LIMIT_BYTES = 10 * JOB_BYTES


class Takeover:
    """An instance that finds the jobs of its own earlier incarnation."""

    def __init__(self, jobs_count: int, body_bytes: int = BODY_BYTES) -> None:
        draw = random.Random(1)
        self.store = JobStore(FlakyTable(), MemoryObjects(), 65_536)
        self.owned = OwnedJobs()
        context = manual_context(name='instance-0')
        self.claimer = JobClaimer(
            context,
            'life',
            self.store._table,
            self.store,
            self.owned,
            cast('JobRunner', SimpleNamespace(add=self.owned.add)),
            TakeoverSchedule(context, 'life', InstanceLiveness(context)),
            ReadBudget(context, 1e9, lambda: 1),
            lambda: 1.0,
            Tasks(),
            LIMIT_BYTES,
        )
        for number in range(jobs_count):
            items = [
                JobItem(id=f'i{n}', path='/p/', headers={}, body=draw.randbytes(body_bytes))
                for n in range(ITEMS)
            ]
            head = msgspec.structs.replace(
                new_head(0),
                job_id=JobId(f'{number:016x}'),
                items_count=ITEMS,
                owner_life='earlier',
            )
            assert isinstance(self.store.accept(head, items), StoredHead)
        self.claimer.list_once()

    def claim(self) -> None:
        self.claimer.claim_due()
        wait_until_seen(lambda: not self.claimer._claiming, 'the claims to end')


def test_jobs_beyond_the_memory_wait_in_the_store() -> None:
    takeover = Takeover(JOBS)
    done: set[JobId] = set()
    while len(done) < JOBS:
        takeover.claim()
        assert takeover.owned.by_id
        assert takeover.owned.held_bytes() <= LIMIT_BYTES + CLAIMS_LIMIT * JOB_BYTES
        for job_id, job in list(takeover.owned.by_id.items()):
            for progress in list(job.open.values()):
                job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
            assert takeover.store.commit(job, job.next_commit()) is CommitVerdict.DONE
            assert job.held_bytes == 0
            takeover.owned.drop(job_id)
            done.add(job_id)


def test_large_jobs_are_read_one_after_the_other(monkeypatch: pytest.MonkeyPatch) -> None:
    # All reads of objects share the store's bandwidth.
    takeover = Takeover(LARGE_JOBS, INLINE_BYTES // 3)
    read_items = takeover.store.items
    reading: list[JobHead] = []
    counts: list[int] = []

    def read(head: JobHead) -> list[JobItem] | PlatformFailure:
        assert head.in_objects
        counts.append(len(reading))
        reading.append(head)
        gevent.sleep(0.001)
        reading.remove(head)
        return read_items(head)

    monkeypatch.setattr(takeover.store, 'items', read)
    takeover.claimer._items_limit_bytes = 1e9
    takeover.claim()
    assert counts == [0] * LARGE_JOBS
    assert len(takeover.owned.by_id) == LARGE_JOBS
