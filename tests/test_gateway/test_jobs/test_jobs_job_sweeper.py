"""Jobs past their retention time are deleted from the store, and no others."""

from __future__ import annotations

import random
import string

import msgspec

from citrondyke.decisions.batch.job import ItemResult, ItemState
from citrondyke.decisions.batch.job_clock import JobClock
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.gateway.jobs.job_removal import JobRemoval
from citrondyke.gateway.jobs.job_rows import CommitVerdict, NoJob, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.job_sweeper import CLOCK_MARGIN_MS, JobSweeper
from tests.support.flaky_table import FlakyTable, MemoryObjects, Trouble
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.origin_fleet import MachineClock
from tests.test_batch.test_batch_machine import ITEMS, JOB, new_head

KEPT_MS = 120_000.0
HOUR_MS = 3_600_000.0


class _StoredJob:
    """One job of five items in a store, and a sweeper."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.machine_clock = MachineClock(self.clock)
        self.context = manual_context(self.machine_clock)
        store_clock = StoreClock(self.context)
        store_clock.observe(self.clock.now_ms())
        job_clock = JobClock(self.context, store_clock)
        self.table = FlakyTable()
        self.objects = MemoryObjects()
        self.store = JobStore(self.table, self.objects, 65_536)
        head = msgspec.structs.replace(
            new_head(0),
            accepted_epoch_ms=self.clock.epoch_ms(),
            due_epoch_ms=self.clock.epoch_ms(),
            accepted_store_ms=job_clock.stamp_ms,
        )
        accepted = self.store.accept(head, ITEMS)
        assert isinstance(accepted, StoredHead)
        self.job = OwnedJob(accepted.head, accepted.version, ITEMS)
        self.removal = JobRemoval(self.table, self.objects)
        live = InstanceLiveness(self.context)
        self.sweeper = JobSweeper(self.context, job_clock, self.store, self.removal, live, KEPT_MS)

    def finish(self, text: str = 'text') -> None:
        results = [ItemResult(item.id, ItemState.COMPLETED, text) for item in ITEMS]
        assert self.store.commit(self.job, results) is CommitVerdict.DONE


def test_finished_job_is_deleted_after_its_retention_time() -> None:
    stored_job = _StoredJob()
    stored_job.finish()
    stored_job.clock.ms += KEPT_MS
    assert stored_job.sweeper.sweep() == 0
    assert isinstance(stored_job.store.current_head(JOB), StoredHead)
    stored_job.clock.ms += CLOCK_MARGIN_MS + 1.0
    assert stored_job.sweeper.sweep() == 1
    assert isinstance(stored_job.store.current_head(JOB), NoJob)
    assert stored_job.removal.all_jobs() == []


def test_finished_job_is_kept_at_an_instance_whose_time_of_day_is_ahead() -> None:
    stored_job = _StoredJob()
    stored_job.finish()
    for ahead_ms in (HOUR_MS, -HOUR_MS, 0.0):
        stored_job.machine_clock.ahead_ms = ahead_ms
        assert stored_job.sweeper.sweep() == 0
    stored_job.machine_clock.ahead_ms = -HOUR_MS
    stored_job.clock.ms += KEPT_MS + CLOCK_MARGIN_MS + 1.0
    assert stored_job.sweeper.sweep() == 1


def test_open_job_is_never_deleted() -> None:
    stored_job = _StoredJob()
    stored_job.clock.ms += 100 * KEPT_MS
    assert stored_job.sweeper.sweep() == 0
    assert isinstance(stored_job.store.items(stored_job.job.head), list)


def test_objects_of_large_results_are_deleted() -> None:
    stored_job = _StoredJob()
    noise = ''.join(random.Random(1).choices(string.printable, k=120_000))
    stored_job.finish(noise)
    assert stored_job.objects.objects
    stored_job.clock.ms += KEPT_MS + CLOCK_MARGIN_MS + 1.0
    assert stored_job.sweeper.sweep() == 1
    assert not stored_job.objects.objects


def test_interrupted_deletion_is_continued() -> None:
    # The store rejects a call in the middle of a deletion. The head is deleted last, so the next
    # sweep must find the job and continue.
    stored_job = _StoredJob()
    stored_job.finish()
    stored_job.clock.ms += KEPT_MS + CLOCK_MARGIN_MS + 1.0
    stored = stored_job.store.current_head(JOB)
    assert isinstance(stored, StoredHead)
    stored_job.table.trouble = Trouble.REFUSED
    assert stored_job.removal.delete(stored) is CommitVerdict.NOT_WRITTEN
    assert stored_job.removal.all_jobs() == [JOB]
    assert stored_job.sweeper.sweep() == 1
    assert stored_job.removal.all_jobs() == []
