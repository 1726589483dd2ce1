"""A feed of changes goes on through outages without a storm of calls."""

from __future__ import annotations

from citrondyke.gateway.retry_backoff import FIRST_PAUSE_MS, MAX_PAUSE_MS, backoff_ms


def test_calls_of_a_store_that_refuses_get_rarer_and_stay_prompt() -> None:
    # The store refuses a third of the instances for 9 s. Each tries again at once, then ever more
    # rarely, yet often enough to know of all changes well within 2 s of its return.
    pauses = [backoff_ms(count) for count in range(1, 40)]
    assert pauses[0] == FIRST_PAUSE_MS
    assert pauses == sorted(pauses)
    assert max(pauses) == MAX_PAUSE_MS
    calls = 0
    passed_ms = 0.0
    for pause_ms in pauses:
        if passed_ms > 9_000.0:
            break
        passed_ms += pause_ms
        calls += 1
    assert calls <= 20
