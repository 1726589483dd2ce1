"""Commits of an owner, and its detection of jobs that it no longer owns."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from citrondyke.decisions.batch.owned_job import OwnedJob, RunResult
from citrondyke.gateway.jobs.job_committer import SAVE_EVERY_MS, SAVE_INTERVAL_FACTOR, JobCommitter
from citrondyke.gateway.jobs.job_rows import StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.storage.partitioned_table import (
    Listing,
    PartCommitted,
    PartConflict,
    PartTransaction,
)
from tests.support.flaky_table import CountingTable, MemoryObjects
from tests.support.gateway import wait_until_seen
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import ITEMS, JOB, new_head


class _Owner:
    """An owner of one job over a table."""

    def __init__(self, tasks: Tasks | None = None, table: CountingTable | None = None) -> None:
        self.table = table or CountingTable()
        self.store = JobStore(self.table, MemoryObjects(), 65_536)
        self.owned = OwnedJobs()
        self.committer = JobCommitter(
            manual_context(), self.owned, self.store, tasks or Tasks(), lambda _: None
        )
        accepted = self.store.accept(new_head(0), ITEMS)
        assert isinstance(accepted, StoredHead)
        self.accepted = accepted
        self.owned.add(OwnedJob(accepted.head, accepted.version, ITEMS))
        self.table.transactions_count = 0

    def end_elsewhere(self) -> None:
        ended = msgspec.structs.replace(self.accepted.head, is_ended=True)
        assert isinstance(self.store.change_head(self.accepted, ended), StoredHead)


def test_head_polls_use_no_transactions() -> None:
    # The store is 50 times slower, and transactions on one job are serialized at 250 ms each. If
    # polling the job's head were a transaction, it would delay the listing of results.
    owner = _Owner()
    for _ in range(5):
        owner.committer.check_all()
    assert owner.table.transactions_count == 0
    assert owner.owned.owned(JOB) is not None


def test_cancellation_is_detected_by_the_next_poll() -> None:
    # Another instance handles the caller's cancellation, and its datagram to the owner is lost. The
    # items must stop nevertheless.
    owner = _Owner()
    owner.end_elsewhere()
    owner.committer.check_all()
    assert owner.owned.owned(JOB) is None


def test_stale_read_from_before_the_claim_does_not_drop_the_job() -> None:
    # A read is some seconds old and shows the head before this instance claimed it. If it were
    # applied, the owner would drop the job that it has just taken over.
    owner = _Owner()
    stale = owner.table.read('jobs', JOB)
    assert isinstance(stale, Listing)
    claimed = owner.store.change_head(
        owner.accepted, msgspec.structs.replace(owner.accepted.head, owner_life='later')
    )
    assert isinstance(claimed, StoredHead)
    owner.owned.add(OwnedJob(claimed.head, claimed.version, ITEMS))
    owner.table.stale = stale
    owner.committer.check_all()
    assert owner.owned.owned(JOB) is not None


def test_notified_owner_detects_cancellation_despite_stale_reads() -> None:
    # Reads are seconds old when a job is cancelled. The instance that handled the cancellation
    # notifies the owner, which must check the head by a consistent read.
    owner = _Owner()
    stale = owner.table.read('jobs', JOB)
    assert isinstance(stale, Listing)
    owner.end_elsewhere()
    owner.table.stale = stale
    owner.committer.check_job(JOB)
    gevent.sleep(0)
    assert owner.owned.owned(JOB) is None


def test_progress_is_saved_less_often_while_the_store_is_slow() -> None:
    # Saved progress is needed only if the owner dies. While each transaction takes 450 ms, saving
    # would delay the commits that callers wait for.
    owner = _Owner()
    assert owner.committer.save_pause_ms() == SAVE_EVERY_MS
    owner.table.call_ms = 450.0
    assert owner.committer.save_pause_ms() == 450.0 * SAVE_INTERVAL_FACTOR


def test_instance_without_jobs_blocks_until_one_is_added() -> None:
    # Most instances of a large fleet own no job most of the time, and polling for work 48 times a
    # second would waste processor time. A new job must wake them at once.
    owner = _Owner()
    job = owner.owned.drop(JOB)
    assert job is not None
    waiting = gevent.spawn(owner.owned.wait_for_jobs)
    gevent.sleep(0)
    assert not waiting.dead
    owner.owned.add(job)
    waiting.join(timeout=1.0)
    assert waiting.dead
    owner.owned.lose(JOB, 'ended')
    again = gevent.spawn(owner.owned.wait_for_jobs)
    gevent.sleep(0)
    assert not again.dead
    again.kill()


class _LateTasks(Tasks):
    """Tasks that start late, as in a busy event loop."""

    def spawn(self, work: Callable[..., object], *arguments: Any) -> gevent.Greenlet:
        return gevent.spawn_later(0.2, work, *arguments)


class _SlowTable(CountingTable):
    """A table whose answers take a while."""

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        answer = super().transact(transaction)
        gevent.sleep(0.3)
        return answer


def test_commits_in_a_late_event_loop_list_no_result_twice() -> None:
    # Two commits of the same results at once: the second finds its own rows and counts them again.
    tasks = _LateTasks()
    owner = _Owner(tasks, _SlowTable())
    job = owner.owned.owned(JOB)
    assert job is not None
    progress = next(iter(job.open.values()))
    job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
    owner.committer.start()
    wait_until_seen(lambda: job.results, 'the commit')
    gevent.sleep(0.6)
    tasks.end()
    assert [result.id for result in job.results] == [progress.item.id]
