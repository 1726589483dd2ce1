"""Batch items fill what is free and make room at once, but for those at risk."""

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


class Floor:
    """One server of eight places, as one owner of items sees it."""

    def __init__(self, seed: int = 1, name: str = 'instance-0') -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock, name, seed=seed)
        self.book = ServerRegistry(context)
        self.book.replace([listed_server(A, SERVICE, SLOTS)])
        self.pace = StartRateLimiter(context, self.book.topology)
        self.give_way = BatchScheduler(context, self.book, self.pace)

    @property
    def state(self) -> ServerState:
        state = self.book.state(A)
        assert state is not None
        return state

    def cut(self, *urgencies: Urgency) -> list[Urgency]:
        items = [
            RunningItem(number, self.state.incarnation, float(number), each)
            for number, each in enumerate(urgencies)
        ]
        self.state.own.batch = len(items)
        self.clock.ms += self.pace.gap_ms
        return [item.urgency for item in self.give_way.items_to_preempt(items)]


def test_items_leave_a_place_free() -> None:
    floor = Floor()
    for _ in range(SLOTS - 1):
        assert floor.give_way.choose_server(SERVICE, Urgency.PATIENT) is not None
        floor.state.own.batch += 1
    assert floor.give_way.choose_server(SERVICE, Urgency.PATIENT) is None


def test_as_many_items_stop_as_online_requests_need_places() -> None:
    # A burst of online requests reaches a server that is full of batch items. Exactly what is too
    # much there stops, at once.
    floor = Floor()
    floor.state.own.online = 3
    assert len(floor.cut(*[Urgency.PATIENT] * 8)) == 3
    floor.state.own.online = 1
    assert floor.cut(*[Urgency.PATIENT] * 7) == []


def test_owners_together_stop_what_is_needed() -> None:
    # Three owners have items on a server, and some places are needed. Together they stop exactly
    # as many: more would be put off for nothing, fewer would let online requests wait.
    names = ['owner-0', 'owner-1', 'owner-2']
    for online in range(1, 9):
        stopped = 0
        for name in names:
            floor = Floor(name=name)
            floor.state.own.online = online
            for peer in names:
                if peer != name:
                    floor.state.record_peer_counts(InstanceId(peer), 0, 2, floor.clock.ms + 100.0)
            stopped += len(floor.cut(*[Urgency.PATIENT] * 2))
        assert stopped == max(0, min(6, online + 6 - SLOTS))


def test_late_items_stop_first_and_those_at_risk_last() -> None:
    floor = Floor()
    floor.state.own.online = 4
    kinds = [Urgency.AT_RISK, Urgency.PATIENT, Urgency.LATE, Urgency.AT_RISK, Urgency.PATIENT]
    assert floor.cut(*kinds) == [Urgency.LATE]
    floor.state.own.online = 7
    assert floor.cut(*kinds) == [Urgency.LATE, Urgency.PATIENT, Urgency.PATIENT]


def test_items_at_risk_keep_a_quarter_of_the_places_and_no_more() -> None:
    # The service has lost servers and online requests want every place. Without a bound, items
    # at risk would hold all of them; without a share, all of them would be late.
    floor = Floor()
    floor.state.own.online = SLOTS
    assert len(floor.cut(*[Urgency.AT_RISK] * 6)) == 6 - SLOTS // 4
    assert floor.state.protected_batch_limit == SLOTS // 4


def test_item_at_risk_takes_a_held_place_though_none_is_free() -> None:
    floor = Floor()
    floor.state.own.online = SLOTS
    assert floor.give_way.choose_server(SERVICE, Urgency.PATIENT) is None
    assert floor.give_way.choose_server(SERVICE, Urgency.AT_RISK) is not None
    floor.state.own.batch = SLOTS // 4
    assert floor.give_way.choose_server(SERVICE, Urgency.AT_RISK) is None


def test_item_is_at_risk_when_it_must_run_from_now_on() -> None:
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


def test_owners_that_do_not_hear_of_each_other_yet_do_not_fill_queues() -> None:
    # 70 instances have items waiting and all see the same four free places. Until they hear of
    # each other's starts, about as many items start as there are places, not 70 times as many.
    started = 0
    for seed in range(70):
        floor = Floor(seed)
        floor.book.topology.replace(other_instances(69))
        floor.state.own.online = SLOTS - 5
        for _ in range(3):
            floor.clock.ms += 20.0 + seed % 5
            started += floor.give_way.choose_server(SERVICE, Urgency.PATIENT) is not None
    assert started <= 12


def test_small_fleet_starts_items_without_delay() -> None:
    floor = Floor()
    floor.book.topology.replace(other_instances(1))
    started = 0
    for _ in range(4):
        started += floor.give_way.choose_server(SERVICE, Urgency.PATIENT) is not None
    assert started >= 3


def test_owner_cuts_once_until_it_hears_what_the_others_cut() -> None:
    floor = Floor()
    floor.book.topology.replace(other_instances(69))
    floor.state.own.online = 3
    items = [
        RunningItem(number, floor.state.incarnation, 0.0, Urgency.PATIENT) for number in range(8)
    ]
    floor.state.own.batch = 8
    assert len(floor.give_way.items_to_preempt(items)) == 3
    assert floor.give_way.items_to_preempt(items) == []
    floor.clock.ms += floor.pace.gap_ms
    assert len(floor.give_way.items_to_preempt(items)) == 3


def large_floor() -> Floor:
    floor = Floor()
    floor.book.topology.replace(other_instances(69))
    return floor


def running(floor: Floor, target_ms: float, *remaining_ms: float) -> list[RunningItem]:
    return [
        RunningItem(number, floor.state.incarnation, 0.0, Urgency.PATIENT, each, target_ms)
        for number, each in enumerate(remaining_ms)
    ]


def test_no_run_is_cut_for_a_request_that_leaves_meanwhile() -> None:
    # A server with several online requests has one too many for a moment, again and again.
    floor = large_floor()
    target_ms = 300.0
    items = running(floor, target_ms, *[5_000.0] * 6)
    floor.state.own.batch = 6
    for _ in range(20):
        floor.state.own.online = 3
        assert floor.give_way.items_to_preempt(items) == []
        floor.clock.ms += ONLINE_WAIT_SHARE * target_ms / 2
        floor.state.own.online = 2
        assert floor.give_way.overloaded_servers([floor.state.incarnation]) == set()
        floor.clock.ms += ONLINE_WAIT_SHARE * target_ms / 2


def test_run_is_cut_for_a_request_that_would_wait() -> None:
    floor = large_floor()
    target_ms = 300.0
    items = running(floor, target_ms, *[1_000.0, 5_000.0, 2_000.0] * 2)
    floor.state.own.batch, floor.state.own.online = 6, 3
    assert floor.give_way.items_to_preempt(items) == []
    floor.clock.ms += ONLINE_WAIT_SHARE * target_ms
    assert [item.remaining_ms for item in floor.give_way.items_to_preempt(items)] == [5_000.0]


def test_run_that_ends_at_once_makes_room_by_itself() -> None:
    floor = large_floor()
    items = running(floor, 300.0, *[5_000.0] * 5, 10.0)
    floor.state.own.batch, floor.state.own.online = 6, 3
    floor.give_way.items_to_preempt(items)
    floor.clock.ms += ONLINE_WAIT_SHARE * 300.0
    assert floor.give_way.items_to_preempt(items) == []


def test_items_take_no_slow_server_while_a_usual_one_is_as_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    floor = Floor()
    floor.book.replace([listed_server(A, SERVICE, SLOTS), listed_server('b', SERVICE, SLOTS)])
    monkeypatch.setattr(
        ServerState, 'expected_slowdown', lambda state, _: 4.0 if state.listed.id == A else 1.0
    )
    chosen = [floor.give_way.choose_server(SERVICE, Urgency.PATIENT) for _ in range(200)]
    on_slow = sum(state is not None and state.listed.id == A for state in chosen)
    assert on_slow < 0.3 * len(chosen)


def test_request_waits_for_others_that_end_soon() -> None:
    # Online requests have filled a quick server. One of them ends every 100 ms.
    floor = large_floor()
    target_ms = 300.0
    items = running(floor, target_ms, 5_000.0, 5_000.0)
    floor.state.own.batch, floor.state.own.online = 2, 7
    floor.give_way.items_to_preempt(items)
    floor.clock.ms += 2 * ONLINE_WAIT_SHARE * target_ms
    assert floor.give_way.items_to_preempt(items) == []
    floor.clock.ms += DUE_SOON_WAIT_SHARE * target_ms
    assert len(floor.give_way.items_to_preempt(items)) == 1
