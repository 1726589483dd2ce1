"""An item is completed with its whole output, and after a bounded number of runs."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from citrondyke.decisions.batch.item_end import CONFIRM_WAIT_MS
from citrondyke.decisions.batch.job import ItemState, JobItem
from citrondyke.decisions.batch.owned_job import (
    ABANDON_MARGIN_MS,
    CONFIRM_PAUSE_MS,
    ItemProgress,
    OwnedJob,
    RunResult,
)
from citrondyke.decisions.streams.stream_end import RunEnd
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.gateway.jobs.job_rows import StoredHead
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.ids import ServerIncarnation, ServiceName, SoftwareVersion
from tests.support.flaky_table import FlakyTable, MemoryObjects
from tests.test_batch.test_batch_machine import new_head

ITEM = JobItem(id='i0', path='/p/x', headers={}, body=b'')
ORIGIN = StreamOrigin(ServiceName('lm'), SoftwareVersion('v1'))
#: Runs at sound servers after which an item is completed: three to five statements, and the run
#: that brings the events before them.
RUNS_LIMIT = 6
COUNTS = st.integers(1, 6)


class ItemWorld:
    """One item of ``events_count`` events, and servers that run it; the first one may be faulty."""

    def __init__(self, events_count: int, servers_count: int, *, is_resumable: bool = True) -> None:
        self.events_count = events_count
        self.servers = [ServerIncarnation(f's{n}') for n in range(servers_count)]
        self.is_resumable = is_resumable
        self.now_ms = 1_000.0
        self.job = OwnedJob(new_head(0), 1, [ITEM])

    @property
    def progress(self) -> ItemProgress:
        return self.job.open[ITEM.id]

    @property
    def last_event_id(self) -> int:
        return self.progress.last_event_id or 0

    def choose(self, index: int) -> ServerIncarnation:
        avoided = self.progress.end.servers_to_avoid(self.now_ms)
        others = [each for each in self.servers if each not in avoided]
        return (others or self.servers)[index % len(others or self.servers)]

    def add_events(self, count: int) -> int:
        """Add events of a run, after those of the runs before if servers may continue them."""
        if not self.is_resumable:
            self.progress.drop_events()
        first = self.last_event_id + 1
        ids = range(first, min(first + count, self.events_count + 1))
        for number in ids:
            self.progress.add_event(f'{number}', number, ORIGIN)
        return len(ids)

    def interrupt(self, events_count: int, *, is_in_event: bool) -> None:
        has_events = bool(self.add_events(events_count))
        progress = self.progress
        progress.end.record_interruption(
            progress.last_event_id, has_events=has_events, is_in_event=is_in_event
        )
        self.end_run(RunResult.INTERRUPTED)

    def end(self, server: ServerIncarnation, events_count: int, *, is_framed: bool) -> None:
        count = self.add_events(events_count)
        end = self.progress.end
        if not (is_framed or count or end.is_in_doubt):
            self.interrupt(0, is_in_event=False)
            return
        verdict = end.record_end(
            RunEnd(server, is_framed, count, self.progress.last_event_id),
            self.progress.text,
            lambda excluded: not excluded.issuperset(self.servers),
            self.now_ms,
            is_resumable=self.is_resumable,
        )
        self.end_run(RunResult.COMPLETED if verdict.is_complete else RunResult.UNCONFIRMED)

    def end_run(self, result: RunResult) -> None:
        self.job.end_run(self.progress, result, self.now_ms, 0.0)
        self.now_ms += 1.0

    def take_over(self) -> None:
        """Go on as another owner, which has what was saved."""
        store = JobStore(FlakyTable(), MemoryObjects(), 65_536)
        accepted = store.accept(new_head(0), [ITEM])
        assert isinstance(accepted, StoredHead)
        saved = OwnedJob(accepted.head, accepted.version, [ITEM])
        saved.open[ITEM.id] = self.progress
        store.release(saved, [self.progress])
        self.job = OwnedJob(new_head(0), 1, [ITEM])
        found = store.progress(accepted.head.job_id)
        assert isinstance(found, list)
        for each in found:
            self.job.restore(each.item_id, each.last_event_id, each.text, 0, each.origin)


class ItemEndMachine(RuleBasedStateMachine):
    """Runs of an item end in any way and order; one server may be faulty, and others may exit."""

    world: ItemWorld

    @initialize(events_count=COUNTS, servers_count=st.integers(2, 4), is_resumable=st.booleans())
    def begin(self, events_count: int, servers_count: int, is_resumable: bool) -> None:
        self.world = ItemWorld(events_count, servers_count, is_resumable=is_resumable)

    @property
    def is_open(self) -> bool:
        return bool(self.world.job.open)

    @precondition(lambda self: self.is_open)
    @rule(events_count=st.integers(0, 6), is_in_event=st.booleans())
    def interrupt(self, events_count: int, is_in_event: bool) -> None:
        world = self.world
        is_all = world.last_event_id + events_count >= world.events_count
        world.interrupt(events_count, is_in_event=is_in_event and not is_all)

    @precondition(lambda self: self.is_open)
    @rule(index=st.integers(0, 3), events_count=st.integers(0, 3), is_framed=st.booleans())
    def end(self, index: int, events_count: int, is_framed: bool) -> None:
        world = self.world
        server = world.choose(index)
        is_faulty = server == world.servers[0]
        if is_faulty:
            # A framed end after some events can't be told from a short output.
            world.end(server, 0 if is_framed else events_count, is_framed=is_framed)
        else:
            world.end(server, world.events_count, is_framed=is_framed)

    @precondition(lambda self: self.is_open and self.world.is_resumable)
    @rule(index=st.integers(1, 3), events_count=COUNTS)
    def exit(self, index: int, events_count: int) -> None:
        """Exit after some events of a response without a frame, whose connection is closed."""
        world = self.world
        server = world.choose(index)
        if server != world.servers[0] and world.last_event_id < world.events_count:
            world.end(server, events_count, is_framed=False)

    @precondition(lambda self: self.is_open)
    @rule()
    def take_over(self) -> None:
        self.world.take_over()

    @precondition(lambda self: not self.is_open)
    @rule(events_count=COUNTS)
    def begin_next(self, events_count: int) -> None:
        world = self.world
        self.begin(events_count, len(world.servers), world.is_resumable)

    @invariant()
    def listed_item_is_whole(self) -> None:
        for result in self.world.job.finished if hasattr(self, 'world') else ():
            whole = '\n'.join(str(n) for n in range(1, self.world.events_count + 1))
            assert (result.state, result.text) == (ItemState.COMPLETED, whole)

    def teardown(self) -> None:
        """Sound servers, with a frame or without, complete the item."""
        if not hasattr(self, 'world'):
            return
        for number in range(RUNS_LIMIT):
            if not self.is_open:
                return
            server = self.world.choose(number)
            self.world.end(server, self.world.events_count, is_framed=number % 2 == 0)
        assert not self.is_open
        self.listed_item_is_whole()


TestItemEndMachine = ItemEndMachine.TestCase
TestItemEndMachine.settings = settings(max_examples=300, stateful_step_count=30, deadline=None)


def interrupted(servers_count: int) -> ItemWorld:
    """An item of six events that was interrupted after two."""
    world = ItemWorld(6, servers_count)
    world.interrupt(2, is_in_event=False)
    return world


def test_one_statement_after_a_takeover_ends_no_item() -> None:
    world = interrupted(2)
    world.end(world.servers[0], 0, is_framed=True)
    world.take_over()
    assert world.last_event_id == 2
    world.end(world.servers[0], 0, is_framed=True)
    assert world.job.open


def test_item_whose_end_is_unknown_at_a_takeover_is_completed() -> None:
    world = ItemWorld(6, 2)
    world.interrupt(6, is_in_event=False)
    world.take_over()
    for _ in range(2):
        world.end(world.choose(0), 0, is_framed=True)
    assert [len(each.text.split()) for each in world.job.finished] == [6]


def test_unconfirmed_run_is_neither_failed_nor_interrupted() -> None:
    # 500s and pauses were counted as if a server had failed the item.
    world = interrupted(3)
    breaks = world.progress.consecutive_breaks
    world.end(world.servers[0], 0, is_framed=True)
    progress = world.progress
    assert (progress.failures_count, progress.consecutive_breaks) == (0, breaks)
    assert progress.not_before_ms <= world.now_ms + CONFIRM_PAUSE_MS
    for _ in range(2):
        world.end_run(RunResult.FAILED)
    assert world.job.open
    world.end_run(RunResult.FAILED)
    assert [each.state for each in world.job.finished] == [ItemState.ERRORED]


def test_item_unconfirmed_for_ever_is_given_up_in_time() -> None:
    world = interrupted(2)
    world.end(world.servers[0], 0, is_framed=True)
    given_up_ms = world.job.head.abandon_epoch_ms + ABANDON_MARGIN_MS
    world.job.abandon_overdue(given_up_ms - 1.0)
    assert world.job.open
    world.job.abandon_overdue(given_up_ms)
    assert [each.state for each in world.job.finished] == [ItemState.ERRORED]


def test_statements_outlive_a_preemption() -> None:
    world = interrupted(2)
    world.end(world.servers[0], 0, is_framed=True)
    world.progress.end.record_interruption(2, has_events=False, is_in_event=False)
    world.end_run(RunResult.PREEMPTED)
    assert world.progress.end.servers_to_avoid(world.now_ms) == {world.servers[0]}


def test_server_that_is_never_free_keeps_no_item_open() -> None:
    # The other server of the item is listed, but stays full or has ended.
    world = ItemWorld(6, 2)
    world.interrupt(6, is_in_event=False)
    stated = world.servers[0]
    world.end(stated, 0, is_framed=True)
    assert world.progress.end.servers_to_avoid(world.now_ms) == {stated}
    world.now_ms += CONFIRM_WAIT_MS
    assert not world.progress.end.servers_to_avoid(world.now_ms)
    for _ in range(2):
        assert world.job.open
        world.end(stated, 0, is_framed=True)
    assert not world.job.open
