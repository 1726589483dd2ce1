"""Outcomes of items in the hands of their owner."""

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


def test_cut_runs_count_as_no_attempt() -> None:
    # Servers crash again and again under an item. It was never answered with a failure, so it is
    # not given up before its time.
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


def test_begun_item_goes_first() -> None:
    # An item that gave way to online requests has its first events already; starting another one
    # in its place would leave two half done.
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


def test_commit_in_doubt_is_tried_again_as_it_was() -> None:
    # A commit's reply is lost, and another item ends before the next try. The next try must put
    # the same results at the same positions, or a reader could see two at one.
    job = owned()
    for item_id in ('i0', 'i1'):
        progress = job.open[item_id]
        job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
        if item_id == 'i0':
            first = list(job.next_commit())
    assert list(job.next_commit()) == first
    job.record_committed(first, None)
    assert [each.id for each in job.next_commit()] == ['i1']


def test_failures_of_an_item_pass_to_the_next_owner() -> None:
    # An item fails at each run while instances are stopped in turn. Each owner gives it two runs
    # and hands it over; without its count it would reach servers on and on.
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
    later.restore('i0', None, '', kept[0].failures_count)
    later.end_run(later.open['i0'], RunResult.FAILED, 0.0, 0.0)
    assert [each.id for each in later.finished] == ['i0']
