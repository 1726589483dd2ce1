"""Discovery of open jobs whose owners may be dead."""

from __future__ import annotations

from typing import cast

import msgspec

from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.gateway.jobs.job_claimer import JobClaimer
from citrondyke.gateway.jobs.job_rows import StoredHead
from citrondyke.gateway.jobs.job_runner import JobRunner
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import JobId
from tests.support.flaky_table import CountingTable, MemoryObjects
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import ITEMS, new_head

JOBS = 20


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
    context = manual_context(name='instance-7')
    claimer = JobClaimer(
        context,
        'life',
        table,
        store,
        OwnedJobs(),
        # Nothing is claimed here, so the runner is not used.
        cast('JobRunner', None),
        TakeoverSchedule(context, 'life', InstanceLiveness(context)),
        ReadBudget(context, 2_000.0, lambda: 13),
        lambda: 1.0,
        Tasks(),
    )
    claimer.list_once()
    assert claimer.open_count == JOBS
    assert table.transactions_count == 0
