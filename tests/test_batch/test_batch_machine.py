"""Two owners with lost replies and late writes neither lose nor duplicate a result."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from citrondyke.decisions.batch.job import ItemResult, JobHead, JobItem
from citrondyke.decisions.batch.owned_job import OwnedJob, RunResult
from citrondyke.gateway.jobs.job_rows import CommitVerdict, NoJob, StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.ids import InstanceId, JobId, RouteName
from tests.support.flaky_table import FlakyTable, MemoryObjects, Trouble

JOB = JobId('job')
ITEMS = [JobItem(id=f'i{n}', path='/p/x', headers={}, body=b'b%d' % n) for n in range(5)]
OWNERS = st.sampled_from([0, 1])
TROUBLES = st.sampled_from(list(Trouble))


def new_head(owner: int) -> JobHead:
    return JobHead(
        job_id=JOB,
        route=RouteName('r'),
        host='h',
        items_count=len(ITEMS),
        chunks_count=0,
        in_objects=False,
        owner=InstanceId(f'instance-{owner}'),
        owner_life=f'life-{owner}',
        accepted_epoch_ms=0.0,
        due_epoch_ms=0.0,
        abandon_epoch_ms=1e12,
        attempts_limit=3,
    )


class JobMachine(RuleBasedStateMachine):
    """Owners claim, run and commit in any order, over a store that fails at any call."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FlakyTable()
        self.store = JobStore(self.table, MemoryObjects(), 65_536)
        self.jobs: dict[int, OwnedJob] = {}
        self.told = False
        self.may_exist = False
        self.listed: list[ItemResult] = []
        self.run_number = 0
        self.ended = False
        self.was_ended = False

    @rule(owner=OWNERS, trouble=TROUBLES)
    def submit(self, owner: int, trouble: Trouble) -> None:
        self.table.trouble = trouble
        answer = self.store.accept(new_head(owner), ITEMS)
        if isinstance(answer, StoredHead):
            self.told = True
            head = answer.head
            is_own = head.owner == f'instance-{owner}' and owner not in self.jobs
            if is_own and not head.is_ended and not head.is_done:
                self.load(owner, answer)
        elif trouble is not Trouble.REFUSED:
            self.may_exist = True

    @rule()
    def arrive_late(self) -> None:
        self.table.apply_late()

    @rule(owner=OWNERS, trouble=TROUBLES)
    def claim(self, owner: int, trouble: Trouble) -> None:
        stored = self.store.current_head(JOB)
        if isinstance(stored, NoJob) or stored.head.is_done or stored.head.is_ended:
            return
        self.table.trouble = trouble
        wanted = msgspec.structs.replace(
            stored.head, owner=InstanceId(f'instance-{owner}'), owner_life=f'life-{owner}'
        )
        claimed = self.store.change_head(stored, wanted)
        if isinstance(claimed, StoredHead):
            self.load(owner, claimed)

    def load(self, owner: int, stored: StoredHead) -> None:
        items = self.store.items(stored.head)
        results = self.store.results(JOB, 0, stored.version)
        assert isinstance(items, list)
        assert isinstance(results, list)
        self.jobs[owner] = OwnedJob(stored.head, stored.version, items, results)

    @precondition(lambda self: self.jobs)
    @rule(
        owner=OWNERS,
        end=st.sampled_from([RunResult.COMPLETED, RunResult.FAILED, RunResult.INTERRUPTED]),
    )
    def run_item(self, owner: int, end: RunResult) -> None:
        job = self.jobs.get(owner)
        progress = job.next_item(1e15) if job is not None else None
        if job is None or progress is None:
            return
        self.run_number += 1
        progress.texts = [f'run {self.run_number}']
        job.end_run(progress, end, 0.0, 0.0)

    @precondition(lambda self: self.jobs)
    @rule(owner=OWNERS, trouble=TROUBLES)
    def commit(self, owner: int, trouble: Trouble) -> None:
        job = self.jobs.get(owner)
        if job is None or not job.next_commit():
            return
        self.table.trouble = trouble
        if self.store.commit(job, job.next_commit()) is CommitVerdict.FENCED:
            del self.jobs[owner]

    @rule(owner=OWNERS)
    def die(self, owner: int) -> None:
        self.jobs.pop(owner, None)

    @rule(trouble=TROUBLES)
    def end(self, trouble: Trouble) -> None:
        stored = self.store.current_head(JOB)
        if isinstance(stored, NoJob) or stored.head.is_ended:
            return
        self.table.trouble = trouble
        wanted = msgspec.structs.replace(stored.head, is_ended=True)
        if isinstance(self.store.change_head(stored, wanted), StoredHead):
            self.ended = True

    @invariant()
    def accepted_job_is_there(self) -> None:
        if self.told:
            assert isinstance(self.store.current_head(JOB), StoredHead)

    @invariant()
    def results_only_grow(self) -> None:
        """Listed results never change, none is added after the end, owners show no others."""
        results = self.store.results(JOB, 0)
        assert isinstance(results, list)
        assert results[: len(self.listed)] == self.listed
        if self.was_ended:
            assert results == self.listed
        self.was_ended = self.ended
        self.listed = results
        ids = [result.id for result in results]
        assert len(ids) == len(set(ids))
        for job in self.jobs.values():
            assert job.results == results[: len(job.results)]

    def teardown(self) -> None:
        """A last owner on a store without failures finishes the job."""
        self.table.apply_late()
        stored = self.store.current_head(JOB)
        if isinstance(stored, NoJob):
            assert not self.told
            return
        if stored.head.is_ended or stored.head.is_done:
            return
        claimed = self.store.change_head(
            stored, msgspec.structs.replace(stored.head, owner_life='last')
        )
        assert isinstance(claimed, StoredHead)
        self.load(2, claimed)
        job = self.jobs[2]
        while (progress := job.next_item(1e15)) is not None:
            progress.texts = ['last']
            job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
        while job.next_commit():
            assert self.store.commit(job, job.next_commit()) is CommitVerdict.DONE
        results = self.store.results(JOB, 0)
        assert isinstance(results, list)
        assert sorted(result.id for result in results) == sorted(item.id for item in ITEMS)
        assert self.store.open_jobs() == []


TestJobMachine = JobMachine.TestCase
TestJobMachine.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
