"""A wave of batch items that exceeds the capacity, with online requests beside it."""

from __future__ import annotations

import heapq

import pytest

from citrondyke.ids import ServerId
from tests.test_batch.wave_world import SLOTS, TARGET_MS, WaveWorld

SERVERS = 45
OWNERS = 60
ZONES = 4
#: Required share of the throughput that the capacity allows.
SHARE = 0.95
CALM_PER_S, BURST_PER_S = 60.0, 330.0
OVERLOAD_MEMORY_MS, STEP_MS = 3_400.0, 5_800.0


def bursts(at_ms: float) -> float:
    """Return online requests per second: they use a capacity of 42, and of 230 in a burst."""
    return CALM_PER_S if at_ms % STEP_MS < OVERLOAD_MEMORY_MS else BURST_PER_S


def most_done_ms(ends_ms: list[float]) -> float:
    """Return the time by which 99 % have ended; the rest are a few long ones."""
    return sorted(ends_ms)[int(0.99 * len(ends_ms)) - 1]


def shortest_time_ms(world: WaveWorld, capacity: int) -> float:
    """Return the time that a single owner with exact knowledge of the capacity would need."""
    free_ms = [0.0] * capacity
    ends_ms = []
    for item in world.items:
        ends_ms.append(free_ms[0] + item.left_ms)
        heapq.heapreplace(free_ms, ends_ms[-1])
    return most_done_ms(ends_ms)


def time_needed_ms(world: WaveWorld) -> float:
    """Run until all items are finished."""
    begin_ms = world.clock.ms
    world.run(lambda: all(item.ended_ms is not None for item in world.items))
    return most_done_ms([(item.ended_ms or 0.0) - begin_ms for item in world.items])


@pytest.mark.parametrize('holders_count', [20, OWNERS])
def test_wave_takes_little_longer_than_the_capacity_requires(holders_count: int) -> None:
    # 1,800 items arrive at once, at a third of the instances or at all of them.
    world = WaveWorld(OWNERS, SERVERS, ZONES, item_ms=2_000.0)
    for n in range(180):
        world.add(world.instances[n % holders_count], 10, 60_000.0)
    ideal_ms = shortest_time_ms(world, SERVERS * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / SHARE


def test_capacity_between_bursts_is_used_and_requests_do_not_wait() -> None:
    # Online requests use an eighth of the capacity, and within a second two thirds. Items run for
    # seconds, so each burst needs as many preemptions as it rises; a quarter more allows for
    # randomness.
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
    assert sum(item.preemptions_count for item in world.items) <= 1.25 * 4 * rise


def test_overload_makes_only_the_excess_items_late() -> None:
    # Twice as many items as the servers can finish by their due time.
    world = WaveWorld(30, 12, item_ms=5_000.0)
    due_ms = 18_000.0
    for instance in world.instances:
        world.add(instance, 24, due_ms)
    begin_ms = world.clock.ms
    world.run(lambda: world.clock.ms >= begin_ms + due_ms)
    done = sum(item.ended_ms is not None for item in world.items)
    # One unit of capacity finishes at most three items of 5 s in 18 s.
    assert done >= 0.9 * 12 * SLOTS * 3


def test_owners_of_late_items_yield_to_doable_items() -> None:
    # Some owners have items that are already late, others get items that are not.
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


def test_crashed_server_costs_only_its_capacity() -> None:
    world = WaveWorld(30, 12)
    for instance in world.instances:
        world.add(instance, 20, 60_000.0)
    world.after(1_500.0, lambda: world.crash_server(ServerId('s0')))
    ideal_ms = shortest_time_ms(world, 11 * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / SHARE


def test_dead_owner_withholds_capacity_only_briefly() -> None:
    # The owner with most of the urgent items dies; its demand delays the others only briefly.
    world = WaveWorld(30, 12)
    world.add(world.instances[0], 400, 6_000.0)
    for instance in world.instances[1:]:
        world.add(instance, 10, 60_000.0)
    world.after(2_000.0, lambda: world.kill(world.instances[0], world.instances[1]))
    ideal_ms = shortest_time_ms(world, 12 * SLOTS)
    # Capacity stays unused until its demand and its load counts have expired.
    assert time_needed_ms(world) <= ideal_ms / SHARE + 1_600.0


def test_lost_notices_do_not_delay_a_wave() -> None:
    world = WaveWorld(30, 12, loss=0.1)
    for instance in world.instances[:4]:
        world.add(instance, 150, 60_000.0)
    ideal_ms = shortest_time_ms(world, 12 * SLOTS)
    assert time_needed_ms(world) <= ideal_ms / 0.9
