"""Requests that arrive before the configuration is known are held, within limits."""

from __future__ import annotations

from citrondyke.decisions.forwarding.startup_hold import HELD_LIMIT, StartupHold
from tests.support.manual_clock import ManualClock, manual_context


def test_all_callers_of_a_lost_fleet_reach_one_instance() -> None:
    # 1,000 callers at once: as many as the limit allows are held for a third of their time, the
    # others are rejected at once, each with a different retry time.
    context = manual_context()
    hold = StartupHold(context)
    until = [hold.begin(900.0) for _ in range(1_000)]
    assert until.count(None) == 1_000 - HELD_LIMIT
    assert until[0] == context.now_ms() + 300.0
    times = {hold.retry_in_ms() for _ in range(744)}
    assert min(times) >= 200.0
    assert max(times) <= 300.0
    assert len(times) > 700
    hold.end()
    assert hold.begin(None) == context.now_ms() + 1_000.0


def test_retry_time_grows_with_the_duration_of_the_start() -> None:
    clock = ManualClock()
    hold = StartupHold(manual_context(clock))
    clock.ms += 1_000.0
    assert 1_000.0 <= hold.retry_in_ms() <= 1_500.0
    clock.ms += 60_000.0
    assert hold.retry_in_ms() <= 2_250.0
