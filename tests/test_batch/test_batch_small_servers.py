"""Owed items start on idle servers of any size, and online requests get their capacity back."""

from __future__ import annotations

import heapq
import random
from functools import partial

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from citrondyke.decisions.batch.batch_scheduler import Urgency
from citrondyke.decisions.batch.placement_refusal import PlacementRefusal
from citrondyke.decisions.forwarding.admission_rule import WAIT_SHARE
from tests.test_batch.owner_world import SERVICE, OwnerWorld
from tests.test_batch.wave_world import TARGET_MS, WaveWorld

#: Time within which an owed item starts on idle servers.
START_WITHIN_MS = 5_000.0


@pytest.mark.parametrize('urgency', list(Urgency))
@pytest.mark.parametrize('others_count', [0, 1, 12, 40])
@pytest.mark.parametrize('zone', ['zone-a', 'zone-b'])
@pytest.mark.parametrize(
    'slots', [[1], [1, 1], [1, 1, 1], [1] * 6, [2], [2, 2], [1, 8], [1, 1, 8]], ids=str
)
def test_item_starts_on_idle_servers(
    slots: list[int], zone: str, others_count: int, urgency: Urgency
) -> None:
    world = OwnerWorld(slots, others_count, zone)
    until_ms = world.clock.ms + START_WITHIN_MS
    while 2 * world.batch_count < world.slots_count:
        assert world.clock.ms < until_ms, world.scheduler.refusals
        world.poll(urgency)


@pytest.mark.parametrize('slots', [[1], [2], [1, 1, 1], [2, 2], [8]], ids=str)
def test_service_without_online_requests_keeps_no_capacity_for_them(slots: list[int]) -> None:
    world = OwnerWorld(slots)
    until_ms = world.clock.ms + START_WITHIN_MS
    while world.clock.ms < until_ms:
        world.poll(Urgency.LATE)
    assert world.batch_count == world.slots_count


@pytest.mark.parametrize('slots', [[2], [2, 2], [1, 1, 1], [8]], ids=str)
def test_service_with_online_requests_keeps_capacity_for_them(slots: list[int]) -> None:
    world = OwnerWorld(slots)
    until_ms = world.clock.ms + START_WITHIN_MS
    while world.clock.ms < until_ms:
        world.states[0].own.online = int(world.clock.ms % 1_000.0 < 200.0)
        world.poll(Urgency.PATIENT)
    assert 2 * world.batch_count >= world.slots_count - 1
    assert world.batch_count < world.slots_count


def test_refusal_names_its_reason() -> None:
    world = OwnerWorld([2])
    for _ in range(2):
        world.poll(Urgency.PATIENT)
    assert set(world.scheduler.refusals) == {PlacementRefusal.KEPT_FOR_ONLINE}
    world.scheduler.refusals.clear()
    world.states[0].own.online = 1
    world.poll(Urgency.PATIENT)
    assert set(world.scheduler.refusals) == {PlacementRefusal.FULL}
    world.scheduler.refusals.clear()
    world.list_servers([])
    world.poll(Urgency.PATIENT)
    assert set(world.scheduler.refusals) == {PlacementRefusal.NO_SERVER}


FLEETS = [
    (1, 1, 1, 1),
    (2, 1, 3, 1),
    (13, 1, 2, 1),
    (2, 2, 1, 1),
    (5, 2, 2, 1),
    (30, 1, 6, 3),
    (60, 2, 12, 4),
]


@pytest.mark.parametrize(('owners', 'slots', 'servers', 'zones'), FLEETS, ids=str)
def test_late_items_take_little_longer_than_the_slots_require(
    owners: int, slots: int, servers: int, zones: int
) -> None:
    world = WaveWorld(owners, servers, zones, item_ms=3_000.0, slots_count=slots)
    for number in range(6):
        world.add(world.instances[number % owners], 3, 4_000.0)
    free_ms = [world.clock.ms] * (servers * slots)
    for item in sorted(world.items, key=lambda each: -each.left_ms):
        heapq.heapreplace(free_ms, free_ms[0] + item.left_ms)
    limit_ms = max(free_ms) + START_WITHIN_MS
    world.run(lambda: all(item.ended_ms for item in world.items) or world.clock.ms > limit_ms)
    assert all(item.ended_ms for item in world.items)


@pytest.mark.parametrize(('owners', 'slots', 'servers', 'zones'), FLEETS, ids=str)
def test_online_request_gets_the_capacity_of_an_item_in_time(
    owners: int, slots: int, servers: int, zones: int
) -> None:
    # Items fill all servers; an online request comes every 3 s.
    world = WaveWorld(owners, servers, zones, item_ms=20_000.0, slots_count=slots)
    world.add(world.instances[0], 40, 1.0)
    for number in range(1, 21):
        world.after(3_000.0 * number, partial(world.send_online, 300.0))
    world.run(lambda: world.clock.ms > 64_000.0)
    assert len(world.waits_ms) == 20
    assert max(world.waits_ms) <= WAIT_SHARE * TARGET_MS


class PlacementMachine(RuleBasedStateMachine):
    """Items, online requests and changes of the server list in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.random = random.Random(1)

    @initialize(
        slots=st.lists(st.integers(1, 8), min_size=1, max_size=4),
        others_count=st.sampled_from([0, 1, 12, 40]),
        zone=st.sampled_from(['zone-a', 'zone-b']),
        seed=st.integers(0, 99),
    )
    def begin(self, slots: list[int], others_count: int, zone: str, seed: int) -> None:
        self.zone = zone
        self.world = OwnerWorld(slots, others_count, zone, seed)

    @rule(urgency=st.sampled_from(list(Urgency)), polls_count=st.integers(1, 20))
    def start_items(self, urgency: Urgency, polls_count: int) -> None:
        for _ in range(polls_count):
            self.world.poll(urgency)

    @rule(count=st.integers(1, 4))
    def send_online_requests(self, count: int) -> None:
        for _ in range(count):
            state = self.world.registry.choose_server(SERVICE, (), '')
            if state is not None and state.own.online < state.listed.slots_count:
                state.own.online += 1
        for urgency in Urgency:
            self.world.clock.ms += 200.0
            self.world.preempt(urgency)

    @precondition(lambda self: any(state.own.batch for state in self.world.states))
    @rule()
    def end_an_item(self) -> None:
        busy = [state for state in self.world.states if state.own.batch]
        self.random.choice(busy).own.batch -= 1

    @rule()
    def end_online_requests(self) -> None:
        for state in self.world.states:
            state.own.online = 0

    @rule(slots=st.lists(st.integers(1, 8), min_size=1, max_size=4))
    def change_slots(self, slots: list[int]) -> None:
        self.world.list_servers(slots, self.zone)

    @rule(failures_count=st.integers(2, 4))
    def eject_all(self, failures_count: int) -> None:
        for state in self.world.states:
            for _ in range(failures_count):
                state.record_failure(self.world.clock.ms)

    @rule(urgency=st.sampled_from(list(Urgency)))
    def owed_items_start_without_online_requests(self, urgency: Urgency) -> None:
        self.end_online_requests()
        # An ejection that has begun ends first.
        until_ms = max(
            [self.world.clock.ms, *(state.ejected_until_ms for state in self.world.states)]
        )
        while 2 * self.world.batch_count < self.world.slots_count:
            assert self.world.clock.ms < until_ms + START_WITHIN_MS, self.world.scheduler.refusals
            self.world.poll(urgency)


TestPlacement = PlacementMachine.TestCase
TestPlacement.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
