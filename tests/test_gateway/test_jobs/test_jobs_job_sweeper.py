"""Jobs that nobody may ask for any more leave the store, and no others."""

from __future__ import annotations

import random
import string

import msgspec

from citrondyke.decisions.batch.job import ItemResult, ItemState
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.gateway.jobs.job_removal import JobRemoval
from citrondyke.gateway.jobs.job_rows import CommitVerdict, NoJob, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.job_sweeper import CLOCK_MARGIN_MS, JobSweeper
from tests.support.flaky_table import FlakyTable, MemoryObjects, Trouble
from tests.support.manual_clock import ManualClock, manual_context
from tests.test_batch.test_batch_machine import ITEMS, JOB, new_head

KEPT_MS = 120_000.0


class Shelf:
    """A store with one job of five items."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.context = manual_context(self.clock)
        self.table = FlakyTable()
        self.objects = MemoryObjects()
        self.store = JobStore(self.table, self.objects, 65_536)
        head = msgspec.structs.replace(
            new_head(0),
            accepted_epoch_ms=self.clock.epoch_ms(),
            due_epoch_ms=self.clock.epoch_ms(),
        )
        accepted = self.store.accept(head, ITEMS)
        assert isinstance(accepted, StoredHead)
        self.job = OwnedJob(accepted.head, accepted.version, ITEMS)
        self.removal = JobRemoval(self.table, self.objects)
        live = InstanceLiveness(self.context)
        self.sweeper = JobSweeper(self.context, self.store, self.removal, live, KEPT_MS)

    def finish(self, text: str = 'text') -> None:
        results = [ItemResult(item.id, ItemState.COMPLETED, text) for item in ITEMS]
        assert self.store.commit(self.job, results) is CommitVerdict.DONE


def test_finished_job_goes_after_its_readers_time() -> None:
    shelf = Shelf()
    shelf.finish()
    shelf.clock.ms += KEPT_MS
    assert shelf.sweeper.sweep() == 0
    assert isinstance(shelf.store.current_head(JOB), StoredHead)
    shelf.clock.ms += CLOCK_MARGIN_MS + 1.0
    assert shelf.sweeper.sweep() == 1
    assert isinstance(shelf.store.current_head(JOB), NoJob)
    assert shelf.removal.all_jobs() == []


def test_open_job_stays_however_old() -> None:
    shelf = Shelf()
    shelf.clock.ms += 100 * KEPT_MS
    assert shelf.sweeper.sweep() == 0
    assert isinstance(shelf.store.items(shelf.job.head), list)


def test_large_results_take_their_objects_with_them() -> None:
    shelf = Shelf()
    noise = ''.join(random.Random(1).choices(string.printable, k=120_000))
    shelf.finish(noise)
    assert shelf.objects.objects
    shelf.clock.ms += KEPT_MS + CLOCK_MARGIN_MS + 1.0
    assert shelf.sweeper.sweep() == 1
    assert not shelf.objects.objects


def test_delete_that_was_cut_short_goes_on() -> None:
    # The store refuses a call in the middle of a delete. The head is the last to go, so that the
    # next sweep finds the job and goes on.
    shelf = Shelf()
    shelf.finish()
    shelf.clock.ms += KEPT_MS + CLOCK_MARGIN_MS + 1.0
    stored = shelf.store.current_head(JOB)
    assert isinstance(stored, StoredHead)
    shelf.table.trouble = Trouble.REFUSED
    assert shelf.removal.delete(stored) is CommitVerdict.NOT_WRITTEN
    assert shelf.removal.all_jobs() == [JOB]
    assert shelf.sweeper.sweep() == 1
    assert shelf.removal.all_jobs() == []
