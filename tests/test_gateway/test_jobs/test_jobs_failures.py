"""A job or an item that raises an unexpected exception costs the others nothing."""

from __future__ import annotations

from typing import Any, NoReturn, cast

import msgspec
import pytest

from citrondyke.decisions.batch.job import JobHead
from citrondyke.decisions.batch.job_clock import JobClock
from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.gateway.jobs.job_claimer import JobClaimer
from citrondyke.gateway.jobs.job_committer import JobCommitter
from citrondyke.gateway.jobs.job_removal import JobRemoval
from citrondyke.gateway.jobs.job_rows import HEADS_TABLE, NoJob, StoredHead
from citrondyke.gateway.jobs.job_runner import JobRunner
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.job_sweeper import JobSweeper
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import JobId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import Listing, PartRow
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context
from tests.test_batch.test_batch_machine import ITEMS, new_head

ODD, SOUND = JobId('a-odd'), JobId('b-sound')


def _raise(*_: object) -> NoReturn:
    raise ZeroDivisionError


class JobsUnderTest:
    """Two stored jobs, and the parts that follow, claim, save and remove them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.context = manual_context(self.clock)
        self.table = FlakyTable()
        self.store = JobStore(self.table, MemoryObjects(), 65_536)
        self.owned = OwnedJobs()
        self.tasks = Tasks()
        self.live = InstanceLiveness(self.context)
        self.takeover = TakeoverSchedule(self.context, 'life', self.live)
        self.claimer = JobClaimer(
            self.context,
            'life',
            self.table,
            self.store,
            self.owned,
            cast('JobRunner', None),
            self.takeover,
            ReadBudget(self.context, 2_000.0, lambda: 2),
            lambda: 1.0,
            self.tasks,
            1e6,
        )
        for job_id in (ODD, SOUND):
            head = msgspec.structs.replace(new_head(0), job_id=job_id)
            assert isinstance(self.store.accept(head, ITEMS), StoredHead)


@pytest.fixture
def jobs() -> JobsUnderTest:
    return JobsUnderTest()


def test_head_that_raises_hides_no_other_job(
    jobs: JobsUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The feed would go on after the newest version, so that the changes of other jobs in the same
    # response were lost.
    apply_head = jobs.claimer._apply_head

    def apply(stored: StoredHead) -> None:
        _raise() if stored.head.job_id == ODD else apply_head(stored)

    monkeypatch.setattr(jobs.claimer, '_apply_head', apply)
    rows: list[PartRow] = []
    for job_id in (ODD, SOUND):
        page = jobs.table.read(HEADS_TABLE, job_id)
        assert isinstance(page, Listing)
        rows += page.rows
    jobs.claimer._apply_rows(rows)
    assert [head.job_id for head in jobs.claimer.open_heads()] == [SOUND]
    assert jobs.claimer.unreadable.count == 1


def test_listing_reads_the_jobs_after_one_that_raises(
    jobs: JobsUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # While jobs are not listed no instance counts as dead for the shares of tokens, and a job that
    # is never read is never taken over.
    read_head = jobs.store.read_head
    monkeypatch.setattr(
        jobs.store, 'read_head', lambda job_id: _raise() if job_id == ODD else read_head(job_id)
    )
    monkeypatch.setattr(jobs.context.random, 'shuffle', lambda listed: listed.sort())
    jobs.claimer.list_once()
    assert [head.job_id for head in jobs.claimer.open_heads()] == [SOUND]
    assert not jobs.claimer.is_listed


def test_job_that_raises_keeps_no_other_from_a_new_owner(
    jobs: JobsUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    jobs.claimer.list_once()
    jobs.claimer._open = {each: jobs.claimer._open[each] for each in (ODD, SOUND)}
    monkeypatch.setattr(
        jobs.takeover, 'is_due', lambda head, _: head.job_id == SOUND or _raise(head)
    )
    claimed: list[JobId] = []
    monkeypatch.setattr(jobs.claimer, '_claim', lambda stored: claimed.append(stored.head.job_id))
    jobs.tasks.supervise(jobs.claimer._run_claims)
    wait_until_seen(lambda: claimed, 'the claim')
    jobs.tasks.end()
    assert claimed == [SOUND]


def test_sweep_goes_on_after_a_job_that_raises(
    jobs: JobsUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each sweep would end at the same job, and all after it would stay in the store for good.
    for job_id in (ODD, SOUND):
        stored = jobs.store.current_head(job_id)
        assert isinstance(stored, StoredHead)
        ended = msgspec.structs.replace(stored.head, is_ended=True)
        assert isinstance(jobs.store.change_head(stored, ended), StoredHead)
    removal = JobRemoval(jobs.table, MemoryObjects())
    delete = removal.delete
    monkeypatch.setattr(
        removal, 'delete', lambda each: _raise() if each.head.job_id == ODD else delete(each)
    )
    job_clock = JobClock(jobs.context, StoreClock(jobs.context))
    assert JobSweeper(jobs.context, job_clock, jobs.store, removal, jobs.live, 0.0).sweep() == 1
    assert isinstance(jobs.store.current_head(SOUND), NoJob)


def test_poll_of_heads_goes_on_after_a_job_that_raises(
    jobs: JobsUnderTest, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The owner would go on with a job that another instance has ended.
    committer = JobCommitter(jobs.context, jobs.owned, jobs.store, jobs.tasks, lambda _: None)
    for job_id in (ODD, SOUND):
        stored = jobs.store.current_head(job_id)
        assert isinstance(stored, StoredHead)
        jobs.owned.add(OwnedJob(stored.head, stored.version, ITEMS))
        ended = msgspec.structs.replace(stored.head, is_ended=True)
        assert isinstance(jobs.store.change_head(stored, ended), StoredHead)
    read_head = jobs.store.read_head
    monkeypatch.setattr(
        jobs.store, 'read_head', lambda job_id: _raise() if job_id == ODD else read_head(job_id)
    )
    committer.check_all()
    assert set(jobs.owned.by_id) == {ODD}


def test_head_without_chunks_is_unreadable(jobs: JobsUnderTest) -> None:
    # As another writer may leave it: the instance that has claimed the job would fail to load it
    # without a line, and claim it again.
    head: JobHead = msgspec.structs.replace(new_head(0), job_id=JobId('other'), chunks_count=0)
    assert isinstance(jobs.store.items(head), PlatformFailure)


def test_item_that_raises_at_its_start_fails_alone(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An item that was marked as running before its run existed stayed open forever, and so did its
    # job; its server counted one item more for good.
    for instance in fleet.instances:
        dialect: Any = instance.batch.runner._dialect
        prompt_parts = dialect.item_prompt_parts

        def parts(item: Any, prompt_parts: Any = prompt_parts) -> Any:
            return _raise() if item.id == 'job-0' else prompt_parts(item)

        monkeypatch.setattr(dialect, 'item_prompt_parts', parts)
    assert fleet.submit('job', 3).status == 202
    listed = wait_until_seen(
        lambda: len(found := fleet.results('job')['results']) == 2 and found, 'the sound items'
    )
    # No server has failed the item, so that it may not be listed as errored.
    states = {each['id']: each['state'] for each in listed}
    assert states == {'job-1': 'completed', 'job-2': 'completed'}
    counts = [state.own.batch for instance in fleet.instances for state in instance.book.states()]
    assert not any(counts)


def test_step_that_raises_does_not_keep_items_from_starting(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One job for which its waiting items can't be counted kept the items of all jobs waiting.
    for instance in fleet.instances:
        monkeypatch.setattr(instance.batch.runner, '_count_waiting', _raise)
        monkeypatch.setattr(instance.batch.runner, 'preempt_items', _raise)
    # No run ends that would start the next one.
    for name in ('lm-1', 'lm-2'):
        fleet.list_server(name, 'lm', state='draining', seq=2)
    assert fleet.submit('job', 8).status == 202
    for name in ('lm-1', 'lm-2'):
        fleet.list_server(name, 'lm', seq=3)
    assert {each['state'] for each in fleet.wait_done('job')} == {'completed'}
