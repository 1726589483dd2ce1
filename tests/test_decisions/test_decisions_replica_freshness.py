"""When an instance must read the store again before it acts."""

from __future__ import annotations

import pytest

from citrondyke.decisions.forwarding.pause_detector import PAUSE_MS, PauseDetector
from citrondyke.decisions.forwarding.replica_freshness import (
    AWAY_MS,
    STALE_AFTER_MS,
    ReplicaEvidence,
    ReplicaFreshness,
)
from tests.support.manual_clock import ManualClock, manual_context

NEVER = float('-inf')


class SuspendedClock(ManualClock):
    """A clock whose machine can be suspended."""

    suspended_ms = 0.0

    def fence_ms(self) -> float:
        return self.ms + self.suspended_ms


class World:
    """An instance that observes its clock."""

    def __init__(self) -> None:
        self.clock = SuspendedClock()
        context = manual_context(self.clock)
        self.pauses = PauseDetector(context)
        self.freshness = ReplicaFreshness(context, self.pauses)
        self.pauses.observe()

    def wait(self, wait_ms: float) -> None:
        """Let time pass with an observation each 250 ms."""
        until_ms = self.clock.ms + wait_ms
        while self.clock.ms < until_ms:
            self.clock.ms = min(until_ms, self.clock.ms + 250.0)
            self.pauses.observe()

    def is_stale(self, confirmed_ms: float, failed_ms: float = NEVER, factor: float = 1.0) -> bool:
        return self.freshness.is_stale(ReplicaEvidence(confirmed_ms, failed_ms), factor)


@pytest.fixture
def world() -> World:
    return World()


def test_instance_in_step_is_never_stale(world: World) -> None:
    # Its polls begin up to 1.2 s apart, in a large fleet three times that.
    for factor in (1.0, 3.0):
        for _ in range(20):
            confirmed_ms = world.clock.ms
            world.wait(1_200.0 * factor)
            assert not world.is_stale(confirmed_ms, factor=factor)


def test_list_that_nothing_confirms_is_stale(world: World) -> None:
    # Feed, poll and readers are all silent, without an error that would show it.
    confirmed_ms = world.clock.ms
    world.wait(STALE_AFTER_MS + 1.0)
    assert world.is_stale(confirmed_ms)


@pytest.mark.parametrize('is_suspended', [False, True])
def test_short_pause_makes_the_list_stale(world: World, is_suspended: bool) -> None:
    # A response that waited in the socket meanwhile was made at any time during the pause.
    confirmed_ms = world.clock.ms
    if is_suspended:
        world.clock.suspended_ms += PAUSE_MS
    else:
        world.clock.ms += PAUSE_MS
    world.pauses.observe()
    assert world.is_stale(confirmed_ms)
    assert world.is_stale(confirmed_ms + PAUSE_MS - 1.0)
    assert not world.is_stale(world.clock.fence_ms())


def test_requests_do_not_wait_while_the_store_is_away(world: World) -> None:
    confirmed_ms = world.clock.ms
    world.wait(10_000.0)
    assert not world.is_stale(confirmed_ms, failed_ms=world.clock.ms - AWAY_MS / 2.0)
    assert world.is_stale(confirmed_ms, failed_ms=world.clock.ms - AWAY_MS)
    world.freshness.record_unanswered(world.clock.ms)
    assert not world.is_stale(confirmed_ms)


def test_call_that_failed_in_a_pause_does_not_hide_it(world: World) -> None:
    # Its time was over when the process went on: the store may be well.
    began_ms = world.clock.ms
    world.clock.ms += PAUSE_MS
    world.pauses.observe()
    assert world.is_stale(began_ms, failed_ms=began_ms)
