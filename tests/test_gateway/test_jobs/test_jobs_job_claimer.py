"""Discovery of open jobs whose owners may be dead."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import msgspec
import pytest

from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.gateway.jobs.job_claimer import JobClaimer
from citrondyke.gateway.jobs.job_rows import StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import JobId
from citrondyke.storage.failure import UNAVAILABLE, PlatformFailure
from tests.support.flaky_table import CountingTable, MemoryObjects
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import ITEMS, new_head

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead, JobItem
    from citrondyke.decisions.batch.owned_job import OwnedJob
    from citrondyke.gateway.jobs.job_runner import JobRunner
    from citrondyke.standin.part_table import PartTable

JOBS = 20


def claimer_of(store: JobStore, table: PartTable, added: list[OwnedJob]) -> JobClaimer:
    """A claimer of another instance than the jobs' owner."""
    context = manual_context(name='instance-7')
    return JobClaimer(
        context,
        'life',
        table,
        store,
        OwnedJobs(),
        cast('JobRunner', SimpleNamespace(add=added.append)),
        TakeoverSchedule(context, 'life', InstanceLiveness(context)),
        ReadBudget(context, 2_000.0, lambda: 13),
        lambda: 1.0,
        Tasks(),
        1e6,
    )


def test_listing_after_a_power_loss_uses_no_transactions() -> None:
    # All instances lose power and restart at the same time, with 20 open jobs. Each reads the heads
    # of all of them; as transactions, 89 instances would need 1,780, more than the store allows per
    # second.
    table = CountingTable()
    store = JobStore(table, MemoryObjects(), 65_536)
    for number in range(JOBS):
        head = msgspec.structs.replace(new_head(0), job_id=JobId(f'{number:016x}'))
        assert isinstance(store.accept(head, ITEMS), StoredHead)
    table.transactions_count = 0
    claimer = claimer_of(store, table, [])
    claimer.list_once()
    assert claimer.open_count == JOBS
    assert table.transactions_count == 0


@pytest.mark.parametrize('is_read', [True, False])
def test_job_that_is_ended_while_its_items_are_read_is_not_run(
    monkeypatch: pytest.MonkeyPatch, *, is_read: bool
) -> None:
    # Reading the items of many large jobs takes seconds, or fails again and again.
    table = CountingTable()
    store = JobStore(table, MemoryObjects(), 65_536)
    accepted = store.accept(new_head(0), ITEMS)
    assert isinstance(accepted, StoredHead)
    reads: list[JobHead] = []

    def end_and_read(head: JobHead) -> list[JobItem] | PlatformFailure:
        assert len(reads) < 3
        reads.append(head)
        current = store.read_head(head.job_id)
        assert isinstance(current, StoredHead)
        store.change_head(current, msgspec.structs.replace(current.head, is_ended=True))
        return ITEMS if is_read else UNAVAILABLE

    monkeypatch.setattr(store, 'items', end_and_read)
    added: list[OwnedJob] = []
    claimer_of(store, table, added)._claim(accepted)
    assert len(reads) == 1
    assert not added


def test_job_that_goes_on_is_run() -> None:
    table = CountingTable()
    store = JobStore(table, MemoryObjects(), 65_536)
    accepted = store.accept(new_head(0), ITEMS)
    assert isinstance(accepted, StoredHead)
    added: list[OwnedJob] = []
    claimer_of(store, table, added)._claim(accepted)
    assert [each.head.job_id for each in added] == [accepted.head.job_id]
