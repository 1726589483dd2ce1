"""A wave of batch items, more than the places can take at once, and online requests beside it."""

from __future__ import annotations

import heapq

import pytest

from citrondyke.ids import ServerId
from tests.test_batch.wave_world import SLOTS, TARGET_MS, WaveWorld

SERVERS = 45
OWNERS = 60
ZONES = 4
#: Items in time, and places in use, against what the places allow.
SHARE = 0.95
CALM_PER_S, BURST_PER_S = 60.0, 330.0
OVERLOAD_MEMORY_MS, STEP_MS = 3_400.0, 5_800.0


def bursts(at_ms: float) -> float:
    """Online requests a second: 42 places in the calm, 230 in a burst."""
    return CALM_PER_S if at_ms % STEP_MS < OVERLOAD_MEMORY_MS else BURST_PER_S


def most_done_ms(ends_ms: list[float]) -> float:
    """Give the time by which all but the last hundredth are done; that is a few long ones."""
    return sorted(ends_ms)[int(0.99 * len(ends_ms)) - 1]


def shortest_time_ms(world: WaveWorld, places_count: int) -> float:
    """Give the time that one owner of all items would need, who knows all places at once."""
    free_ms = [0.0] * places_count
    ends_ms = []
    for item in world.items:
        ends_ms.append(free_ms[0] + item.left_ms)
        heapq.heapreplace(free_ms, ends_ms[-1])
    return most_done_ms(ends_ms)


def time_needed_ms(world: WaveWorld) -> float:
    """Play on until all items are done."""
    begin_ms = world.clock.ms
    world.run(lambda: all(item.ended_ms is not None for item in world.items))
    return most_done_ms([(item.ended_ms or 0.0) - begin_ms for item in world.items])


@pytest.mark.parametrize('holders_count', [20, OWNERS])
def test_wave_ends_as_soon_as_the_places_allow(holders_count: int) -> None:
    # 1,800 items come at once, at a third of the instances or at all of them.
    world = WaveWorld(OWNERS, SERVERS, ZONES, item_ms=2_000.0)
    for n in range(180):
        world.add(world.instances[n % holders_count], 10, 60_000.0)
    ideal_ms = shortest_time_ms(world, SERVERS * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / SHARE


def test_places_that_bursts_leave_are_used_and_requests_do_not_wait() -> None:
    # The online requests take an eighth of the places, and within a second two thirds. Items run
    # for seconds: as many must be cut as each burst rises, and a quarter more for chance.
    world = WaveWorld(OWNERS, SERVERS, ZONES, item_ms=5_000.0)
    world.online(bursts)
    for instance in world.instances:
        world.add(instance, 40, 120_000.0)
    used: list[int] = []
    left: list[int] = []

    def sample() -> None:
        online = sum(not item.due_ms for each in world.servers.values() for item in each.running)
        left.append(SERVERS * SLOTS - online)
        used.append(sum(len(each.running) for each in world.servers.values()) - online)
        world.after(50.0, sample)

    world.after(4_000.0, sample)
    world.run(lambda: world.clock.ms >= 4 * STEP_MS)
    assert sum(used) >= 0.92 * sum(left)
    assert sorted(world.waits_ms)[int(0.99 * len(world.waits_ms))] <= TARGET_MS
    rise = (BURST_PER_S - CALM_PER_S) * 0.7
    assert sum(item.cuts_count for item in world.items) <= 1.25 * 4 * rise


def test_too_many_items_are_late_only_as_far_as_there_are_too_many() -> None:
    # Twice as many items as the places can do until they are due.
    world = WaveWorld(30, 12, item_ms=5_000.0)
    due_ms = 18_000.0
    for instance in world.instances:
        world.add(instance, 24, due_ms)
    begin_ms = world.clock.ms
    world.run(lambda: world.clock.ms >= begin_ms + due_ms)
    done = sum(item.ended_ms is not None for item in world.items)
    # A place ends no more than three items of 5 s in 18 s.
    assert done >= 0.9 * 12 * SLOTS * 3


def test_owners_with_late_items_leave_the_places_to_those_that_can_be_done() -> None:
    # Some owners hold items that are late already, others come with some that are not.
    world = WaveWorld(30, 12)
    for instance in world.instances[:20]:
        world.add(instance, 50, 500.0)
    world.run(lambda: world.clock.ms >= 3_000.0)
    late_done = sum(item.ended_ms is not None for item in world.items)
    assert late_done >= 96
    begin_ms = world.clock.ms
    for instance in world.instances[20:]:
        world.add(instance, 20, 4_000.0)
    fresh = world.items[-200:]
    world.run(lambda: all(item.ended_ms is not None for item in fresh))
    assert world.clock.ms - begin_ms <= 4_500.0
    assert sum((item.ended_ms or 0.0) <= item.due_ms for item in fresh) >= 190


def test_crashed_server_costs_its_places_and_no_more() -> None:
    world = WaveWorld(30, 12)
    for instance in world.instances:
        world.add(instance, 20, 60_000.0)
    world.after(1_500.0, lambda: world.crash(ServerId('s0')))
    ideal_ms = shortest_time_ms(world, 11 * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / SHARE


def test_dead_owner_keeps_no_places_from_the_others() -> None:
    # The owner with most of the urgent items dies; its need holds the others up for a moment only.
    world = WaveWorld(30, 12)
    world.add(world.instances[0], 400, 6_000.0)
    for instance in world.instances[1:]:
        world.add(instance, 10, 60_000.0)
    world.after(2_000.0, lambda: world.kill(world.instances[0], world.instances[1]))
    ideal_ms = shortest_time_ms(world, 12 * SLOTS)
    # Places stand free until its need and its counts have lapsed.
    assert time_needed_ms(world) <= ideal_ms / SHARE + 1_600.0


def test_lost_notices_do_not_hold_a_wave_up() -> None:
    world = WaveWorld(30, 12, loss=0.1)
    for instance in world.instances[:4]:
        world.add(instance, 150, 60_000.0)
    ideal_ms = shortest_time_ms(world, 12 * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / 0.9
