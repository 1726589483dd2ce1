"""Callers that submit jobs while no instance reaches the store."""

from __future__ import annotations

import pytest

from citrondyke.decisions.batch.acceptance_deadline import begin_acceptance

DEADLINE_MS = 5_100.0
TRY_MS = 150.0
RETRY_IN_MS = 250.0


def tries(now_ms: float, deadline_ms: float, *, may_hold: bool) -> list[float]:
    """Return the times of one instance's attempts for one caller, and of the answer at the end."""
    wait = begin_acceptance(now_ms, deadline_ms, may_hold=may_hold)
    asked = []
    while now_ms + TRY_MS <= wait.answer_at_ms:
        asked.append(now_ms)
        wait.record_failed()
        now_ms += TRY_MS
    return [*asked, now_ms]


def is_accepted(left_ms: float, *, may_hold: bool) -> bool:
    """Return whether a caller that arrives ``left_ms`` before the store recovers is accepted."""
    *asked, answered_ms = tries(0.0, DEADLINE_MS, may_hold=may_hold)
    # Callers retry once, after at most a third of their remaining time.
    back_ms = answered_ms + min(RETRY_IN_MS, (DEADLINE_MS - answered_ms) / 3)
    *again, _ = tries(back_ms, DEADLINE_MS, may_hold=may_hold)
    return any(at_ms >= left_ms and at_ms + TRY_MS < DEADLINE_MS for at_ms in [*asked, *again])


def accepted_share(outage_ms: int, *, may_hold: bool) -> float:
    comes_ms = range(0, outage_ms, 50)
    return sum(is_accepted(at_ms, may_hold=may_hold) for at_ms in comes_ms) / len(comes_ms)


@pytest.mark.parametrize('outage_ms', [2_000, 4_000, 7_000])
def test_held_callers_survive_longer_outages(outage_ms: int) -> None:
    # The store does not respond for seconds while callers keep submitting jobs. All callers that
    # can be accepted before their deadline are; redirected after 1.5 s, a third of them would fail.
    reachable = min(1.0, (DEADLINE_MS - 2 * TRY_MS - 300.0) / outage_ms)
    held = accepted_share(outage_ms, may_hold=True)
    assert held >= 0.95 * reachable
    assert held >= accepted_share(outage_ms, may_hold=False)


def test_caller_is_redirected_while_only_one_instance_is_slow() -> None:
    wait = begin_acceptance(0.0, DEADLINE_MS, may_hold=True)
    assert wait.answer_at_ms == pytest.approx(1_500.0)
    wait.record_failed()
    assert wait.answer_at_ms < DEADLINE_MS


def test_caller_is_not_held_past_its_deadline() -> None:
    wait = begin_acceptance(0.0, 1_000.0, may_hold=True)
    wait.record_failed()
    assert wait.answer_at_ms <= 1_500.0
