"""Tests that a change feed survives outages without a storm of calls."""

from __future__ import annotations

from citrondyke.gateway.retry_backoff import FIRST_PAUSE_MS, MAX_PAUSE_MS, backoff_ms


def test_retries_back_off_and_stay_frequent_enough() -> None:
    # The store rejects a third of the instances for 9 s. Each retries soon, then with growing
    # pauses, but often enough to learn of all changes well within 2 s of the store's return.
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
