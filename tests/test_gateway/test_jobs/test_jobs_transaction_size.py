"""Tests that no write of a job exceeds what one transaction holds, whatever its texts are."""

from __future__ import annotations

import random

import msgspec
import pytest

from citrondyke.decisions.batch.job import JobItem
from citrondyke.decisions.batch.owned_job import OwnedJob, RunResult
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.ids import ServiceName, SoftwareVersion
from citrondyke.storage.partitioned_table import PartCommitted, PartConflict, PartTransaction
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.test_batch.test_batch_machine import new_head

ITEMS_COUNT = 120
TEXT_CHARS = 12_000
ORIGIN = StreamOrigin(ServiceName('lm'), SoftwareVersion('v1'))
#: What the store takes in one call.
ENTRIES_LIMIT = 100
CALL_BYTES = 1_000_000
ALPHABETS = {
    'chinese': [chr(code) for code in range(0x4E00, 0x4E00 + 3_500)],
    'emoji': [chr(code) for code in range(0x1F300, 0x1F300 + 700)],
    'bytes': [chr(code) for code in range(0x20, 0x7F)],
}


class BoundedTable(FlakyTable):
    """Checks the size of each transaction."""

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        entries = (*transaction.conditions, *transaction.puts, *transaction.removals)
        assert len(entries) <= ENTRIES_LIMIT
        assert sum(len(put.value) * 4 / 3 + 200 for put in transaction.puts) <= CALL_BYTES
        return super().transact(transaction)


@pytest.fixture
def store() -> JobStore:
    """A store that takes no larger transaction than the platform's."""
    return JobStore(BoundedTable(), MemoryObjects(), 65_536)


@pytest.fixture(params=ALPHABETS)
def job(request: pytest.FixtureRequest, store: JobStore) -> OwnedJob:
    """A job whose items have long texts that compress badly."""
    draw = random.Random(1)
    items = [
        JobItem(id=f'i{number}', path='/p/', headers={}, body=b'') for number in range(ITEMS_COUNT)
    ]
    head = msgspec.structs.replace(new_head(0), items_count=ITEMS_COUNT)
    accepted = store.accept(head, items)
    assert isinstance(accepted, StoredHead)
    made = OwnedJob(accepted.head, accepted.version, items)
    for progress in made.open.values():
        text = ''.join(draw.choices(ALPHABETS[request.param], k=TEXT_CHARS))
        progress.add_event(text, 1, ORIGIN)
    return made


def test_results_that_wait_for_the_store_together_are_all_committed(
    store: JobStore, job: OwnedJob
) -> None:
    for progress in list(job.open.values()):
        job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
    while not job.head.is_done:
        assert store.commit(job, job.next_commit()) is CommitVerdict.DONE
    assert len(job.results) == ITEMS_COUNT


def test_progress_of_many_items_is_saved(store: JobStore, job: OwnedJob) -> None:
    assert store.save_progress(job, list(job.open.values())) is CommitVerdict.DONE
    saved = store.progress(job.head.job_id)
    assert isinstance(saved, list)
    assert {each.item_id: each.text for each in saved} == {
        each.item.id: each.texts[0] for each in job.open.values()
    }


def test_job_with_much_progress_is_released(store: JobStore, job: OwnedJob) -> None:
    assert store.release(job, list(job.open.values())) is CommitVerdict.DONE
    saved = store.progress(job.head.job_id)
    assert isinstance(saved, list)
    assert len(saved) == ITEMS_COUNT
    head = store.read_head(job.head.job_id)
    assert isinstance(head, StoredHead)
    assert not head.head.owner
