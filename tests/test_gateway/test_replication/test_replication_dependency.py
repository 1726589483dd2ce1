"""Tests that the store's availability is derived from calls, however rare they are."""

from __future__ import annotations

from citrondyke.gateway.replication.dependency import LOST_AFTER_MS, Dependency
from tests.support.manual_clock import ManualClock


def test_time_between_calls_is_not_an_outage() -> None:
    # Each of 195 instances calls the store every 3 s. If the time between two calls counted as an
    # outage, each would request its peers' whole state every 400 ms: 232 KB/s per instance.
    clock = ManualClock()
    store = Dependency(clock, 'store')
    store.record_call()
    store.record_answer()
    clock.ms += 3_000.0
    assert store.unanswered_ms == 0.0
    assert store.answer_age_ms == 3_000.0


def test_outage_begins_with_the_first_unanswered_call() -> None:
    clock = ManualClock()
    store = Dependency(clock, 'store')
    clock.ms += 5_000.0
    store.record_call()
    clock.ms += LOST_AFTER_MS / 2
    store.record_failure('refused')
    assert not store.is_lost
    store.record_call()
    clock.ms += LOST_AFTER_MS / 2
    store.record_failure('refused')
    assert store.is_lost
    assert store.unanswered_ms == LOST_AFTER_MS
    store.record_call()
    store.record_answer()
    assert not store.is_lost
    assert store.unanswered_ms == 0.0
