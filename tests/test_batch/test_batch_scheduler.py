"""Batch items use free capacity and are preempted at once, except for items at risk."""

from __future__ import annotations

import pytest

from citrondyke.decisions.batch.batch_scheduler import (
    AT_RISK_SLACK_MS,
    DUE_SOON_WAIT_SHARE,
    ONLINE_WAIT_SHARE,
    BatchScheduler,
    RunningItem,
    Urgency,
    urgency,
)
from citrondyke.decisions.batch.run_length import RunLengthEstimator
from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import InstanceId, RouteName, ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server, other_instances

SERVICE = ServiceName('lm')
A = ServerId('a')
SLOTS = 8


class OneServer:
    """One server with a capacity of eight, as one owner of items sees it."""

    def __init__(self, seed: int = 1, name: str = 'instance-0') -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock, name, seed=seed)
        self.book = ServerRegistry(context)
        self.book.replace([listed_server(A, SERVICE, SLOTS)])
        self.rate_limiter = StartRateLimiter(context, self.book.topology)
        self.scheduler = BatchScheduler(context, self.book, self.rate_limiter)

    @property
    def state(self) -> ServerState:
        state = self.book.state(A)
        assert state is not None
        return state

    def preempt(self, *urgencies: Urgency) -> list[Urgency]:
        items = [
            RunningItem(number, self.state.incarnation, float(number), each)
            for number, each in enumerate(urgencies)
        ]
        self.state.own.batch = len(items)
        self.clock.ms += self.rate_limiter.gap_ms
        return [item.urgency for item in self.scheduler.items_to_preempt(items)]


def test_items_leave_headroom() -> None:
    world = OneServer()
    for _ in range(SLOTS - 1):
        assert world.scheduler.choose_server(SERVICE, Urgency.PATIENT) is not None
        world.state.own.batch += 1
    assert world.scheduler.choose_server(SERVICE, Urgency.PATIENT) is None


def test_preemptions_equal_the_excess_of_online_requests() -> None:
    # A burst of online requests reaches a server that is full of batch items. Exactly the excess is
    # preempted, at once.
    world = OneServer()
    world.state.own.online = 3
    assert len(world.preempt(*[Urgency.PATIENT] * 8)) == 3
    world.state.own.online = 1
    assert world.preempt(*[Urgency.PATIENT] * 7) == []


def test_owners_together_preempt_exactly_the_excess() -> None:
    # Three owners have items on a server, and online requests need some of the capacity. Together
    # they preempt exactly the excess: more would defer items needlessly, fewer would let online
    # requests wait.
    names = ['owner-0', 'owner-1', 'owner-2']
    for online in range(1, 9):
        stopped = 0
        for name in names:
            world = OneServer(name=name)
            world.state.own.online = online
            for peer in names:
                if peer != name:
                    world.state.record_peer_counts(InstanceId(peer), 0, 2, world.clock.ms + 100.0)
            stopped += len(world.preempt(*[Urgency.PATIENT] * 2))
        assert stopped == max(0, min(6, online + 6 - SLOTS))


def test_late_items_are_preempted_first_and_items_at_risk_last() -> None:
    world = OneServer()
    world.state.own.online = 4
    kinds = [Urgency.AT_RISK, Urgency.PATIENT, Urgency.LATE, Urgency.AT_RISK, Urgency.PATIENT]
    assert world.preempt(*kinds) == [Urgency.LATE]
    world.state.own.online = 7
    assert world.preempt(*kinds) == [Urgency.LATE, Urgency.PATIENT, Urgency.PATIENT]


def test_items_at_risk_keep_a_quarter_of_the_capacity() -> None:
    # The service has lost servers and online requests need all capacity. Without a limit, items at
    # risk would keep all of it; without a share, all of them would be late.
    world = OneServer()
    world.state.own.online = SLOTS
    assert len(world.preempt(*[Urgency.AT_RISK] * 6)) == 6 - SLOTS // 4
    assert world.state.protected_batch_limit == SLOTS // 4


def test_item_at_risk_starts_on_a_full_server() -> None:
    world = OneServer()
    world.state.own.online = SLOTS
    assert world.scheduler.choose_server(SERVICE, Urgency.PATIENT) is None
    assert world.scheduler.choose_server(SERVICE, Urgency.AT_RISK) is not None
    world.state.own.batch = SLOTS // 4
    assert world.scheduler.choose_server(SERVICE, Urgency.AT_RISK) is None


def test_urgency_follows_the_remaining_run_time() -> None:
    lengths = RunLengthEstimator()
    route = RouteName('r')
    for _ in range(200):
        lengths.record_complete_run(route, 100)
        lengths.record_event_interval(route, 10, 400.0)
    left_ms = lengths.remaining_ms(route, 50)
    assert 1_900.0 < left_ms < 2_100.0
    assert urgency(10_000.0, 0.0, left_ms) is Urgency.PATIENT
    assert urgency(left_ms + AT_RISK_SLACK_MS, 0.0, left_ms) is Urgency.AT_RISK
    assert urgency(left_ms - 1_000.0, 0.0, left_ms) is Urgency.LATE


def test_owners_with_stale_counts_do_not_overload_servers() -> None:
    # 70 instances have items waiting and all see the same free capacity of four. Until they learn
    # of each other's starts, about that many items start, not 70 times as many.
    started = 0
    for seed in range(70):
        world = OneServer(seed)
        world.book.topology.replace(other_instances(69))
        world.state.own.online = SLOTS - 5
        for _ in range(3):
            world.clock.ms += 20.0 + seed % 5
            started += world.scheduler.choose_server(SERVICE, Urgency.PATIENT) is not None
    assert started <= 12


def test_small_fleet_starts_items_without_delay() -> None:
    world = OneServer()
    world.book.topology.replace(other_instances(1))
    started = 0
    for _ in range(4):
        started += world.scheduler.choose_server(SERVICE, Urgency.PATIENT) is not None
    assert started >= 3


def test_owner_preempts_once_per_gap() -> None:
    world = OneServer()
    world.book.topology.replace(other_instances(69))
    world.state.own.online = 3
    items = [
        RunningItem(number, world.state.incarnation, 0.0, Urgency.PATIENT) for number in range(8)
    ]
    world.state.own.batch = 8
    assert len(world.scheduler.items_to_preempt(items)) == 3
    assert world.scheduler.items_to_preempt(items) == []
    world.clock.ms += world.rate_limiter.gap_ms
    assert len(world.scheduler.items_to_preempt(items)) == 3


def large_fleet_world() -> OneServer:
    world = OneServer()
    world.book.topology.replace(other_instances(69))
    return world


def running(world: OneServer, target_ms: float, *remaining_ms: float) -> list[RunningItem]:
    return [
        RunningItem(number, world.state.incarnation, 0.0, Urgency.PATIENT, each, target_ms)
        for number, each in enumerate(remaining_ms)
    ]


def test_brief_excess_preempts_no_run() -> None:
    # A server with several online requests has one too many for short moments, repeatedly.
    world = large_fleet_world()
    target_ms = 300.0
    items = running(world, target_ms, *[5_000.0] * 6)
    world.state.own.batch = 6
    for _ in range(20):
        world.state.own.online = 3
        assert world.scheduler.items_to_preempt(items) == []
        world.clock.ms += ONLINE_WAIT_SHARE * target_ms / 2
        world.state.own.online = 2
        assert world.scheduler.overloaded_servers([world.state.incarnation]) == set()
        world.clock.ms += ONLINE_WAIT_SHARE * target_ms / 2


def test_sustained_excess_preempts_the_longest_run() -> None:
    world = large_fleet_world()
    target_ms = 300.0
    items = running(world, target_ms, *[1_000.0, 5_000.0, 2_000.0] * 2)
    world.state.own.batch, world.state.own.online = 6, 3
    assert world.scheduler.items_to_preempt(items) == []
    world.clock.ms += ONLINE_WAIT_SHARE * target_ms
    assert [item.remaining_ms for item in world.scheduler.items_to_preempt(items)] == [5_000.0]


def test_run_that_is_about_to_end_counts_as_freed_capacity() -> None:
    world = large_fleet_world()
    items = running(world, 300.0, *[5_000.0] * 5, 10.0)
    world.state.own.batch, world.state.own.online = 6, 3
    world.scheduler.items_to_preempt(items)
    world.clock.ms += ONLINE_WAIT_SHARE * 300.0
    assert world.scheduler.items_to_preempt(items) == []


def test_run_that_outlives_its_estimate_is_preempted() -> None:
    # It is expected to end within 10 ms at each look, and goes on for seconds.
    world = large_fleet_world()
    target_ms = 300.0
    world.state.own.batch, world.state.own.online = SLOTS, 1
    until_ms = world.clock.ms + target_ms
    while not world.scheduler.items_to_preempt(running(world, target_ms, *[10.0] * SLOTS)):
        assert world.clock.ms < until_ms
        world.clock.ms += 25.0


def test_items_prefer_a_server_of_normal_speed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = OneServer()
    world.book.replace([listed_server(A, SERVICE, SLOTS), listed_server('b', SERVICE, SLOTS)])
    monkeypatch.setattr(
        ServerState, 'expected_slowdown', lambda state, _: 4.0 if state.listed.id == A else 1.0
    )
    chosen = [world.scheduler.choose_server(SERVICE, Urgency.PATIENT) for _ in range(200)]
    on_slow = sum(state is not None and state.listed.id == A for state in chosen)
    assert on_slow < 0.3 * len(chosen)


def test_request_waits_for_online_requests_that_end_soon() -> None:
    # Online requests have filled a fast server. One of them ends every 100 ms.
    world = large_fleet_world()
    target_ms = 300.0
    items = running(world, target_ms, 5_000.0, 5_000.0)
    world.state.own.batch, world.state.own.online = 2, 7
    world.scheduler.items_to_preempt(items)
    world.clock.ms += 2 * ONLINE_WAIT_SHARE * target_ms
    assert world.scheduler.items_to_preempt(items) == []
    world.clock.ms += DUE_SOON_WAIT_SHARE * target_ms
    assert len(world.scheduler.items_to_preempt(items)) == 1
