"""Tests that another submission with the id of an accepted job changes nothing of that job."""

from __future__ import annotations

import random

import msgspec

from citrondyke.decisions.batch.job import JobItem
from citrondyke.gateway.jobs.job_removal import JobRemoval
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.gateway.jobs.job_store import INLINE_BYTES, JobStore
from citrondyke.ids import TenantId
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.test_batch.test_batch_machine import new_head


def large_items(name: str) -> list[JobItem]:
    """One item too large for a row, even compressed."""
    body = random.Random(name).randbytes(INLINE_BYTES + 1)
    return [JobItem(id=name, path='/p/', headers={}, body=body)]


def test_items_of_an_accepted_job_are_not_replaced_by_another_submission() -> None:
    # Another account submits a large job with the same id; only its head was rejected.
    objects = MemoryObjects()
    store = JobStore(FlakyTable(), objects, 65_536)
    first = store.accept(new_head(0), large_items('first'))
    assert isinstance(first, StoredHead)
    other = msgspec.structs.replace(new_head(1), account=TenantId('other'))
    assert store.accept(other, large_items('second')) == first
    assert store.items(first.head) == large_items('first')
    assert len(objects.objects) == 1


def test_repeated_submission_keeps_the_items_and_their_removal() -> None:
    objects = MemoryObjects()
    table = FlakyTable()
    store = JobStore(table, objects, 65_536)
    first = store.accept(new_head(0), large_items('first'))
    assert isinstance(first, StoredHead)
    assert store.accept(new_head(1), large_items('first')) == first
    assert store.items(first.head) == large_items('first')
    assert JobRemoval(table, objects).delete(first) is CommitVerdict.DONE
    assert not objects.objects
