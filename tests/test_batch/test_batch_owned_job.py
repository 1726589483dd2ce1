"""Outcomes of items at their job's owner."""

from __future__ import annotations

from citrondyke.decisions.batch.job import ItemState, JobItem
from citrondyke.decisions.batch.owned_job import ABANDON_MARGIN_MS, OwnedJob, RunResult
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.test_batch.test_batch_machine import new_head

ITEMS = [JobItem(id=f'i{n}', path='/p/x', headers={}, body=b'') for n in range(3)]


def owned() -> OwnedJob:
    return OwnedJob(new_head(0), 1, ITEMS)


def test_item_fails_after_its_attempts_and_not_before() -> None:
    job = owned()
    for attempt in range(3):
        progress = job.next_item(1e9)
        assert progress is not None
        assert progress.item.id == 'i0'
        assert not job.finished, attempt
        job.end_run(progress, RunResult.FAILED, 0.0, 0.0)
    assert [(each.id, each.state) for each in job.finished] == [('i0', ItemState.ERRORED)]


def test_interrupted_runs_count_as_no_attempt() -> None:
    # Servers crash repeatedly while they run an item. No run has reported a failure, so the item is
    # not abandoned before its time.
    job = owned()
    for _ in range(20):
        progress = job.next_item(1e9)
        assert progress is not None
        job.end_run(progress, RunResult.INTERRUPTED, 0.0, 0.0)
    assert not job.finished
    late = job.head.abandon_epoch_ms + ABANDON_MARGIN_MS
    job.abandon_overdue(late - 1.0)
    assert not job.finished
    job.abandon_overdue(late)
    assert len(job.finished) == 3


def test_interrupted_item_starts_first() -> None:
    # An item preempted by online requests already has its first events; starting another one first
    # would leave two items unfinished.
    job = owned()
    first = job.next_item(0.0)
    assert first is not None
    first.is_running = True
    second = job.next_item(0.0)
    assert second is not None
    second.is_running = True
    second.last_event_id = 4
    job.end_run(second, RunResult.PREEMPTED, 0.0, 0.0)
    job.end_run(first, RunResult.PREEMPTED, 0.0, 0.0)
    assert job.next_item(0.0) is second


def test_uncertain_commit_is_retried_unchanged() -> None:
    # A commit's reply is lost, and another item finishes before the retry. The retry must write the
    # same results at the same positions, or a reader could see two results at one position.
    job = owned()
    for item_id in ('i0', 'i1'):
        progress = job.open[item_id]
        job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
        if item_id == 'i0':
            first = list(job.next_commit())
    assert list(job.next_commit()) == first
    job.record_committed(first, None)
    assert [each.id for each in job.next_commit()] == ['i1']


def test_failure_count_is_transferred_to_the_next_owner() -> None:
    # An item fails at each run while instances are stopped one after another. Each owner runs it
    # twice and transfers the job; without the failure count it would be sent to servers forever.
    store = JobStore(FlakyTable(), MemoryObjects(), 65_536)
    accepted = store.accept(new_head(0), ITEMS)
    assert isinstance(accepted, StoredHead)
    job = OwnedJob(accepted.head, accepted.version, ITEMS)
    for _ in range(2):
        progress = job.open['i0']
        job.end_run(progress, RunResult.FAILED, 0.0, 0.0)
    assert store.release(job, list(job.open.values())) is CommitVerdict.DONE
    kept = store.progress(job.head.job_id)
    assert isinstance(kept, list)
    assert [(each.item_id, each.last_event_id, each.failures_count) for each in kept] == [
        ('i0', None, 2)
    ]
    later = owned()
    later.restore('i0', None, '', kept[0].failures_count, None)
    later.end_run(later.open['i0'], RunResult.FAILED, 0.0, 0.0)
    assert [each.id for each in later.finished] == ['i0']
