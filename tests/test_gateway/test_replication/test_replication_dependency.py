"""Whether the store answers is judged by calls, however rare they are."""

from __future__ import annotations

from citrondyke.gateway.replication.dependency import LOST_AFTER_MS, Dependency
from tests.support.manual_clock import ManualClock


def test_seconds_without_a_call_are_no_silence() -> None:
    # 195 instances call the store every 3 s. Each took the time between two calls for an outage
    # and asked its peers for all that they know, each 400 ms: 232 KB a second and instance.
    clock = ManualClock()
    store = Dependency(clock, 'store')
    store.record_call()
    store.record_answer()
    clock.ms += 3_000.0
    assert store.unanswered_ms == 0.0
    assert store.answer_age_ms == 3_000.0


def test_silence_begins_with_the_first_call_without_an_answer() -> None:
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
