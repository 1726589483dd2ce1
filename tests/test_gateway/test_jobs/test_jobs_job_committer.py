"""An owner keeps its work durable and notices that a job is no longer its own."""

from __future__ import annotations

import gevent
import msgspec

from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.gateway.jobs.job_committer import SAVE_EVERY_MS, SAVE_INTERVAL_FACTOR, JobCommitter
from citrondyke.gateway.jobs.job_rows import StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.storage.partitioned_table import (
    Listing,
)
from tests.support.flaky_table import CountingTable, MemoryObjects
from tests.support.manual_clock import manual_context
from tests.test_batch.test_batch_machine import ITEMS, JOB, new_head


class _Owner:
    """An owner of one job over a table."""

    def __init__(self) -> None:
        self.table = CountingTable()
        self.store = JobStore(self.table, MemoryObjects(), 65_536)
        self.owned = OwnedJobs()
        self.committer = JobCommitter(
            manual_context(), self.owned, self.store, Tasks(), lambda _: None
        )
        accepted = self.store.accept(new_head(0), ITEMS)
        assert isinstance(accepted, StoredHead)
        self.accepted = accepted
        self.owned.add(OwnedJob(accepted.head, accepted.version, ITEMS))
        self.table.transactions_count = 0

    def end_elsewhere(self) -> None:
        ended = msgspec.structs.replace(self.accepted.head, is_ended=True)
        assert isinstance(self.store.change_head(self.accepted, ended), StoredHead)


def test_looks_at_heads_wait_for_no_transaction_of_their_job() -> None:
    # The store is 50 times slower, and transactions of one job wait for each other for 250 ms
    # each. Each look at the job's head was one more of them, so that results were listed late.
    owner = _Owner()
    for _ in range(5):
        owner.committer.check_all()
    assert owner.table.transactions_count == 0
    assert owner.owned.owned(JOB) is not None


def test_cancellation_is_seen_by_the_next_look() -> None:
    # Another instance takes the caller's cancellation, and its datagram to the owner gets lost.
    # The items must stop all the same.
    owner = _Owner()
    owner.end_elsewhere()
    owner.committer.check_all()
    assert owner.owned.owned(JOB) is None


def test_read_from_before_the_own_claim_takes_no_job_away() -> None:
    # A read is some seconds old and shows the head as it was before this instance claimed it.
    # If it counted, the owner would drop the job that it has just taken over.
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


def test_told_owner_looks_past_a_stale_read() -> None:
    # The store's reads are seconds old when a job is cancelled. The instance that took the
    # cancellation tells the owner, who must not be misled by such a read.
    owner = _Owner()
    stale = owner.table.read('jobs', JOB)
    assert isinstance(stale, Listing)
    owner.end_elsewhere()
    owner.table.stale = stale
    owner.committer.check_job(JOB)
    gevent.sleep(0)
    assert owner.owned.owned(JOB) is None


def test_progress_is_kept_more_rarely_while_the_store_is_slow() -> None:
    # Progress is of use only when the owner dies; while each transaction takes 450 ms it would
    # stand in the way of the commits that callers wait for.
    owner = _Owner()
    assert owner.committer.save_pause_ms() == SAVE_EVERY_MS
    owner.table.call_ms = 450.0
    assert owner.committer.save_pause_ms() == 450.0 * SAVE_INTERVAL_FACTOR


def test_instance_without_jobs_waits_for_one() -> None:
    # Most instances of a large fleet own no job most of the time. Looking for work 48 times a
    # second all the same is processor time for nothing; a job must wake them at once.
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
