"""Requests that come before the configuration is known wait for it, within bounds."""

from __future__ import annotations

from citrondyke.decisions.forwarding.startup_hold import HELD_LIMIT, StartupHold
from tests.support.manual_clock import ManualClock, manual_context


def test_all_callers_of_a_lost_fleet_come_to_one_instance() -> None:
    # 1,000 callers at once: as many as may wait do so within a third of their time, the others are
    # told at once, each with another time.
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


def test_a_start_that_takes_long_is_expected_to_go_on() -> None:
    clock = ManualClock()
    hold = StartupHold(manual_context(clock))
    clock.ms += 1_000.0
    assert 1_000.0 <= hold.retry_in_ms() <= 1_500.0
    clock.ms += 60_000.0
    assert hold.retry_in_ms() <= 2_250.0
