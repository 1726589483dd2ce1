"""Ten instances accept jobs under one limit on backlog tokens."""

from __future__ import annotations

import gevent
import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from citrondyke.decisions.batch.backlog_limit import (
    BacklogFull,
    BacklogLimit,
    PeerShares,
    ShareValidity,
    TokenShare,
    WithinBacklogLimit,
    sum_peer_shares,
)
from citrondyke.decisions.batch.job import JobHead, JobItem
from citrondyke.decisions.batch.owned_job import OwnedJob, RunResult
from citrondyke.decisions.forwarding.route import Route, RouteKind, ServiceShare
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.gateway.jobs.backlog_limiter import BacklogLimiter
from citrondyke.gateway.jobs.job_rows import (
    HEAD_KEY,
    HEADS_TABLE,
    CommitVerdict,
    StoredHead,
    decode_head,
)
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.jobs.route_backlog_limiter import BacklogReservation
from citrondyke.gateway.jobs.token_shares import TokenShares
from citrondyke.gateway.replication.fleet_queries import FleetQueries
from citrondyke.ids import ConfigVersion, InstanceId, JobId, RouteName, ServiceName
from citrondyke.storage.partitioned_table import (
    Listing,
    PartCommitted,
    PartConflict,
    PartTransaction,
)
from tests.support.flaky_table import FlakyTable, MemoryObjects, Trouble
from tests.support.manual_clock import ManualClock, manual_context
from tests.test_batch.test_batch_machine import new_head

ROUTE = RouteName('letters')
OVERSHOOT = 0.1
INSTANCES = 10
ITEM_TOKENS = 100
ITEMS = 10
JOB_TOKENS = ITEM_TOKENS * ITEMS
TROUBLES = st.sampled_from(list(Trouble))
WHO = st.integers(0, INSTANCES - 1)


class YieldingTable(FlakyTable):
    """Yields to other greenlets before each call, so that calls interleave."""

    def __init__(self) -> None:
        super().__init__()
        self.calls_count = 0

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        gevent.sleep(0)
        self.calls_count += 1
        return super().transact(transaction)

    def read(self, table: str, part: str, from_key: str = '', limit: int = 500) -> Listing:
        gevent.sleep(0)
        self.calls_count += 1
        return super().read(table, part, from_key, limit)  # type: ignore[return-value]


def route(limit: int) -> Route:
    return Route(
        name=ROUTE,
        host='h',
        prefix='/l/',
        kind=RouteKind.BATCH,
        shares=(ServiceShare(ServiceName('s'), 1.0),),
        timeout_ms=4_000.0,
        target_ms=400.0,
        waiting_tokens_limit=limit,
    )


class Node:
    """One incarnation of one instance, without sockets."""

    def __init__(self, fleet: Fleet, number: int, life: str) -> None:
        self.fleet = fleet
        self.instance_id = InstanceId(f'instance-{number}')
        self.life = life
        self.context = manual_context(fleet.clock, self.instance_id)
        self.owned = OwnedJobs()
        self.store = JobStore(fleet.table, MemoryObjects(), 65_536)
        self.waiting = BacklogLimiter(
            self.context,
            life,
            TokenShares(fleet.table, life),
            self.owned,
            FleetQueries(
                lambda: [each.head for each in fleet.open_jobs()],
                lambda _instance, other, _version, _since: fleet.dead_for_ms(other),
                lambda: [node.life for node in fleet.nodes if node is not self],
            ),
            lambda: fleet.config,
            OVERSHOOT,
        )

    def submit(self, job_id: str, count: int = ITEMS) -> int:
        """Accept a job as the endpoint does; return the status."""
        items = [
            JobItem(id=f'{job_id}-{n}', path='/l/x', headers={}, body=b'', tokens=ITEM_TOKENS)
            for n in range(count)
        ]
        tokens = count * ITEM_TOKENS
        head = JobHead(
            job_id=JobId(job_id),
            route=ROUTE,
            host='h',
            items_count=count,
            chunks_count=0,
            in_objects=False,
            owner=self.instance_id,
            owner_life=self.life,
            accepted_epoch_ms=0.0,
            due_epoch_ms=0.0,
            abandon_epoch_ms=1e13,
            attempts_limit=3,
            tokens=tokens,
        )
        until_ms = self.context.now_ms() + 1_500.0
        reserved = self.waiting.reserve(self.fleet.route, head.job_id, tokens, until_ms)
        if isinstance(reserved, BacklogFull):
            return 429
        if not isinstance(reserved, BacklogReservation):
            return 503
        accepted = self.store.accept(head, items)
        if isinstance(accepted, StoredHead) and accepted.head.owner_life == self.life:
            self.owned.add(OwnedJob(accepted.head, accepted.version, items))
        is_uncertain = accepted is CommitVerdict.UNCERTAIN
        self.waiting.settle(ROUTE, head.job_id, is_uncertain=is_uncertain)
        return 202 if isinstance(accepted, StoredHead) else 504 if is_uncertain else 503

    def finish(self, count: int) -> None:
        """Let servers finish items, those of the oldest job first."""
        for job in list(self.owned.by_id.values()):
            for progress in list(job.open.values())[:count]:
                count -= 1
                self.fleet.finished.add(progress.item.id)
                job.end_run(progress, RunResult.COMPLETED, 0.0, 0.0)
            if not job.open:
                self.change(job, is_done=True)
                self.owned.drop(job.head.job_id)

    def change(self, job: OwnedJob, **changed: object) -> None:
        stored = StoredHead(job.head, job.version)
        self.store.change_head(stored, msgspec.structs.replace(job.head, **changed))


class Fleet:
    """Ten instances on one store, and the true size of the backlog."""

    def __init__(self, limit: int) -> None:
        self.clock = ManualClock()
        self.table = YieldingTable()
        self.config = RouteTable(ConfigVersion(1), (route(limit),))
        #: Times of death by incarnation.
        self.gone: dict[str, float] = {}
        self.finished: set[str] = set()
        self.lives_count = 0
        self.jobs_count = 0
        self.nodes: list[Node] = []
        self.nodes += [self.new_node(number) for number in range(INSTANCES)]

    @property
    def route(self) -> Route:
        return self.config.routes[0]

    @route.setter
    def route(self, changed: Route) -> None:
        self.config = RouteTable(ConfigVersion(self.config.version + 1), (changed,))

    def kill(self, node: Node) -> None:
        self.gone[node.life] = self.clock.ms

    def leave(self, node: Node, trouble: Trouble = Trouble.NONE) -> None:
        """Stop a node as planned, with a failure of the first store call that this makes."""
        self.table.trouble = trouble
        node.owned.is_stopping = True
        leaving = gevent.spawn(node.waiting.shutdown)
        gevent.sleep(0)
        for job in list(node.owned.by_id.values()):
            if node.store.release(job, []) is CommitVerdict.DONE:
                node.owned.drop(job.head.job_id)
        leaving.join()
        self.table.trouble = Trouble.NONE
        self.kill(node)

    def dead_for_ms(self, life: str) -> float | None:
        return self.clock.ms - self.gone[life] if life in self.gone else None

    def new_node(self, number: int) -> Node:
        self.lives_count += 1
        return Node(self, number, f'life-{self.lives_count}')

    def new_job(self) -> str:
        self.jobs_count += 1
        return f'job-{self.jobs_count}'

    def open_jobs(self) -> list[StoredHead]:
        found = []
        for part in self.table.list_parts(HEADS_TABLE):  # type: ignore[union-attr]
            for row in FlakyTable.read(self.table, HEADS_TABLE, part).rows:  # type: ignore[union-attr]
                if row.key == HEAD_KEY:
                    head = decode_head(row.value or b'')
                    if not head.is_done and not head.is_ended:
                        found.append(StoredHead(head, row.version))
        return found

    def unfinished_tokens(self) -> int:
        """Return the size of the backlog by the definition of the limit."""
        return sum(
            ITEM_TOKENS
            for stored in self.open_jobs()
            for n in range(stored.head.items_count)
            if f'{stored.head.job_id}-{n}' not in self.finished
        )

    def unrecorded_tokens(self) -> int:
        """Return the tokens of finished items that the owners of their jobs do not know of.

        They finished at an instance that died before it recorded that, and count until they finish
        again.
        """
        return sum(
            ITEM_TOKENS
            for node in self.nodes
            for job in node.owned.by_id.values()
            for item_id in job.open
            if item_id in self.finished
        )

    def burst(self, numbers: list[int], trouble: Trouble = Trouble.NONE) -> list[int]:
        """Submit jobs to instances at the same moment."""
        statuses: list[int] = []
        self.table.trouble = trouble

        def submit(node: Node, job_id: str) -> None:
            statuses.append(node.submit(job_id))
            if statuses[-1] == 202:
                limit = self.route.waiting_tokens_limit
                assert not limit or self.unfinished_tokens() <= limit * (1 + OVERSHOOT)

        work = [gevent.spawn(submit, self.nodes[number], self.new_job()) for number in numbers]
        gevent.joinall(work, raise_error=True)
        self.table.trouble = Trouble.NONE
        return statuses

    def poll_all(self) -> None:
        self.clock.ms += 300.0
        for node in self.nodes:
            node.waiting.poll(self.route, self.config.version)


class BacklogMachine(RuleBasedStateMachine):
    """Jobs arrive, items finish, instances die and the limit changes, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(8 * JOB_TOKENS)

    @rule(numbers=st.lists(WHO, min_size=1, max_size=12), trouble=TROUBLES)
    def burst(self, numbers: list[int], trouble: Trouble) -> None:
        self.fleet.burst(numbers, trouble)

    @rule(number=WHO, count=st.integers(1, 25))
    def finish(self, number: int, count: int) -> None:
        self.fleet.nodes[number].finish(count)

    @rule(number=WHO)
    def kill(self, number: int) -> None:
        self.fleet.kill(self.fleet.nodes[number])
        self.fleet.nodes[number] = self.fleet.new_node(number)

    @rule(number=WHO, trouble=TROUBLES)
    def leave(self, number: int, trouble: Trouble) -> None:
        self.fleet.leave(self.fleet.nodes[number], trouble)
        self.fleet.nodes[number] = self.fleet.new_node(number)

    @rule()
    def kill_all(self) -> None:
        for number in range(INSTANCES):
            self.kill(number)

    @rule(number=WHO)
    def claim(self, number: int) -> None:
        node = self.fleet.nodes[number]
        for stored in self.fleet.open_jobs():
            head = stored.head
            if head.owner_life and head.owner_life not in self.fleet.gone:
                continue
            wanted = msgspec.structs.replace(
                head,
                owner=node.instance_id,
                owner_life=node.life,
                life_before=head.owner_life or head.life_before,
            )
            claimed = node.store.change_head(stored, wanted)
            items = node.store.items(head)
            if isinstance(claimed, StoredHead) and isinstance(items, list):
                node.owned.add(OwnedJob(claimed.head, claimed.version, items))
        node.waiting.poll(self.fleet.route, self.fleet.config.version)

    @rule(number=WHO)
    def end(self, number: int) -> None:
        node = self.fleet.nodes[number]
        for job in list(node.owned.by_id.values())[:1]:
            node.change(job, is_ended=True)
            node.owned.lose(job.head.job_id, 'ended')

    @rule(number=WHO, trouble=TROUBLES)
    def look(self, number: int, trouble: Trouble) -> None:
        self.fleet.table.trouble = trouble
        self.fleet.nodes[number].waiting.poll(self.fleet.route, self.fleet.config.version)
        self.fleet.table.trouble = Trouble.NONE

    @rule()
    def arrive_late(self) -> None:
        self.fleet.table.apply_late()

    @rule(ms=st.sampled_from([20.0, 1_000.0, 9_000.0]))
    def wait(self, ms: float) -> None:
        if ms > 6_000.0:
            self.fleet.table.apply_late()
        self.fleet.clock.ms += ms

    @rule(jobs=st.sampled_from([1, 3, 8, 40, 0]))
    def configure(self, jobs: int) -> None:
        self.fleet.route = route(jobs * JOB_TOKENS)

    @rule(number=WHO)
    def fitting_job_is_taken(self, number: int) -> None:
        # All instances have published their finished items, the jobs of dead ones are claimed, and
        # none of their writes can still take effect: a job that fits must be accepted.
        fleet = self.fleet
        for each in range(INSTANCES):
            self.claim(each)
        fleet.table.apply_late()
        fleet.clock.ms += 9_000.0
        fleet.poll_all()
        limit = fleet.route.waiting_tokens_limit
        waiting = fleet.unfinished_tokens() + fleet.unrecorded_tokens()
        fits = not limit or waiting + JOB_TOKENS <= limit
        (status,) = fleet.burst([number])
        assert status == 202 or not fits


BacklogMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
test_backlog_machine = BacklogMachine.TestCase


@pytest.mark.parametrize('jobs', [1, 5, 16])
def test_ten_concurrent_acceptances_respect_the_limit(jobs: int) -> None:
    # Ten instances get a job each within the same millisecond, repeatedly. By what each has read
    # before, all ten would fit.
    fleet = Fleet(jobs * JOB_TOKENS)
    statuses = [status for _ in range(3) for status in fleet.burst(list(range(INSTANCES)))]
    assert statuses.count(202) == jobs
    assert fleet.unfinished_tokens() == jobs * JOB_TOKENS


def test_acceptance_far_from_the_limit_is_one_transaction() -> None:
    # Also the first acceptance of an instance: under low load most are the first one.
    fleet = Fleet(10_000 * JOB_TOKENS)
    fleet.poll_all()
    for node in fleet.nodes:
        before = fleet.table.calls_count
        assert node.submit(fleet.new_job()) == 202
        assert fleet.table.calls_count == before + 1


def test_idle_instance_with_its_share_makes_no_calls() -> None:
    fleet = Fleet(10_000 * JOB_TOKENS)
    for _ in range(3):
        fleet.poll_all()
    before = fleet.table.calls_count
    fleet.poll_all()
    assert fleet.table.calls_count == before


def test_finished_items_free_their_tokens() -> None:
    fleet = Fleet(2 * JOB_TOKENS)
    assert sorted(fleet.burst([0, 1, 2])) == [202, 202, 429]
    for node in fleet.nodes:
        node.finish(5)
    fleet.poll_all()
    assert fleet.burst([4]) == [202]


def test_late_acceptance_of_a_killed_instance_keeps_its_tokens() -> None:
    # An instance sends an acceptance and dies. The write takes effect seconds later. If its tokens
    # had been granted to others meanwhile, the backlog would exceed the limit.
    fleet = Fleet(2 * JOB_TOKENS)
    assert fleet.burst([0]) == [202]
    node = fleet.nodes[1]
    fleet.table.late = []
    reserved = node.waiting.reserve(fleet.route, JobId('late'), JOB_TOKENS, 1e9)
    assert reserved is BacklogReservation.DONE
    fleet.kill(node)
    fleet.poll_all()
    assert fleet.burst([2]) == [429]
    fleet.clock.ms += 9_000.0
    assert fleet.burst([2]) == [202]


def test_tokens_above_a_lowered_limit_are_not_granted_again() -> None:
    # The operator lowers the limit below the current backlog. The tokens of jobs that then finish
    # allow no acceptance: another job would still exceed the new limit.
    fleet = Fleet(8 * JOB_TOKENS)
    assert fleet.burst([0, 0, 0]) == [202, 202, 202]
    fleet.route = route(JOB_TOKENS)
    fleet.poll_all()
    fleet.nodes[0].finish(ITEMS)
    assert fleet.burst([0, 1]) == [429, 429]
    fleet.nodes[0].finish(2 * ITEMS)
    assert sorted(fleet.burst([0, 1])) == [202, 429]


def test_share_from_before_a_time_without_limit_is_invalid() -> None:
    # The operator removes the limit and restores it; jobs were accepted meanwhile. By their owner's
    # share from before, more tokens would be free than there are.
    fleet = Fleet(8 * JOB_TOKENS)
    fleet.poll_all()
    fleet.route = route(0)
    assert fleet.burst([0] * 6 + [1]) == [202] * 7
    fleet.route = route(8 * JOB_TOKENS)
    assert sorted(fleet.burst([0, 2])) == [202, 429]


def test_uncertain_share_is_invalid_after_a_time_without_limit() -> None:
    # The reply to the write of an instance's first share is lost. The limit is removed, the
    # instance accepts jobs, and the limit is restored: by the row those jobs would not exist.
    fleet = Fleet(3 * JOB_TOKENS)
    fleet.table.trouble = Trouble.REPLY_LOST
    fleet.nodes[8].waiting.poll(fleet.route, fleet.config.version)
    fleet.route = route(0)
    assert fleet.burst([0, 0, 8]) == [202] * 3
    fleet.route = route(3 * JOB_TOKENS)
    assert fleet.burst([0]) == [429]


def test_share_of_a_dead_incarnation_is_dropped_in_an_idle_fleet() -> None:
    # An instance dies with a share and no job while no other instance has one, so none polls the
    # shares. The next job would be rejected because of tokens that no job uses.
    fleet = Fleet(JOB_TOKENS)
    assert fleet.burst([0]) == [202]
    fleet.nodes[0].finish(ITEMS)
    fleet.kill(fleet.nodes[0])
    fleet.nodes[0] = fleet.new_node(0)
    fleet.clock.ms += 9_000.0
    assert fleet.burst([0]) == [202]


def test_job_above_the_limit_gets_no_retry_time() -> None:
    bound = BacklogLimit(1_000, OVERSHOOT, 3)
    no_shares = PeerShares(0, 0, 0)
    assert bound.check(0, 1_001, no_shares, 0.0) == BacklogFull(1, None)
    assert isinstance(bound.check(0, 1_000, no_shares, 0.0), WithinBacklogLimit)


def test_retry_time_follows_the_drain_rate() -> None:
    bound = BacklogLimit(1_000, OVERSHOOT, 3)
    others = PeerShares(900, 900, 0)
    assert bound.check(0, 200, others, 100.0) == BacklogFull(100, 1_000.0)
    assert bound.check(0, 200, others, 1e6) == BacklogFull(100, 300.0)
    assert bound.check(0, 200, others, 0.1) == BacklogFull(100, 5_000.0)


def test_share_of_a_dead_incarnation_is_not_counted_beside_its_claimed_jobs() -> None:
    shares = {'a': TokenShare(InstanceId('i'), 500, 400)}
    counted = sum_peer_shares(shares, 'b', lambda _life, _share: ShareValidity.DEAD, [], ROUTE)
    assert counted == PeerShares(0, 0, 0)
    counted = sum_peer_shares(shares, 'b', lambda _life, _share: ShareValidity.UNCERTAIN, [], ROUTE)
    assert counted.held == 500


def test_share_from_before_a_raised_and_lowered_limit_is_invalid() -> None:
    # The operator raises the limit and lowers it again before an instance with a share has polled.
    # Its share is from before, and others have used the tokens since: another job would exceed the
    # limit.
    fleet = Fleet(3 * JOB_TOKENS)
    assert fleet.burst([5]) == [202]
    fleet.nodes[5].finish(ITEMS)
    fleet.route = route(40 * JOB_TOKENS)
    assert fleet.burst([0] * 5) == [202] * 5
    fleet.route = route(3 * JOB_TOKENS)
    assert fleet.burst([5]) == [429]


def test_late_acceptance_of_a_stopped_instance_keeps_its_tokens() -> None:
    # An instance sends an acceptance whose reply is lost, and is stopped as planned. The write
    # takes effect seconds later. If its share were removed at once, its tokens would have been
    # granted to others.
    fleet = Fleet(2 * JOB_TOKENS)
    assert fleet.burst([0]) == [202]
    node = fleet.nodes[1]
    reserved = node.waiting.reserve(fleet.route, JobId('late'), JOB_TOKENS, 1e9)
    assert reserved is BacklogReservation.DONE
    node.waiting.settle(ROUTE, JobId('late'), is_uncertain=True)
    fleet.poll_all()
    fleet.clock.ms += 6_000.0
    fleet.leave(node)
    fleet.poll_all()
    assert fleet.burst([2]) == [429]
    fleet.clock.ms += 9_000.0
    assert fleet.burst([2]) == [202]


def test_uncertain_shrinking_of_a_share_allows_the_smaller_one() -> None:
    # An instance has finished its jobs and shrinks its share; the reply is lost. Others use the
    # tokens that they see as free. By its previous share it would accept the same amount again.
    fleet = Fleet(8 * JOB_TOKENS)
    assert fleet.burst([0] * 4) == [202] * 4
    fleet.nodes[0].finish(4 * ITEMS)
    fleet.table.trouble = Trouble.REPLY_LOST
    fleet.nodes[0].waiting.poll(fleet.route, fleet.config.version)
    assert fleet.burst([1] * 8) == [202] * 8
    assert fleet.burst([0] * 4) == [429] * 4


def test_share_growth_with_a_lost_reply_is_released() -> None:
    # An instance's share grows for a job, the reply is lost and the job is rejected. Without a job
    # the instance never polled again, and the tokens stayed reserved.
    fleet = Fleet(8 * JOB_TOKENS)
    fleet.poll_all()
    assert fleet.burst([1], Trouble.REPLY_LOST) == [503]
    fleet.poll_all()
    assert fleet.burst([0] * 8) == [202] * 8


def test_finished_items_do_not_hide_an_uncertain_acceptance() -> None:
    # An instance dies with a job that is nearly finished and an acceptance that takes effect late.
    # The job then counts as a whole; subtracted from the share, it would leave nothing for the
    # acceptance.
    shares = {'a': TokenShare(InstanceId('i'), 1_100, 1_100, finished=900)}
    head = msgspec.structs.replace(new_head(0), route=ROUTE, owner_life='a', tokens=1_000)
    counted = sum_peer_shares(
        shares, 'b', lambda _life, _share: ShareValidity.UNCERTAIN, [head], ROUTE
    )
    assert counted.held == 2_000
