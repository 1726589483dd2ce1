"""When an instance is overloaded by its callers."""

from __future__ import annotations

import pytest

from citrondyke.decisions.forwarding.overload_detector import (
    BUSY_LIMIT,
    LATE_MS,
    SAMPLES_COUNT,
    OverloadDetector,
)


def is_overloaded_after(*samples: tuple[float, int]) -> bool:
    detector = OverloadDetector()
    for late_ms, busy_count in samples:
        detector.record_sample(late_ms, busy_count)
    return detector.is_overloaded


CROWDED = (LATE_MS + 1.0, BUSY_LIMIT)


@pytest.mark.parametrize(
    ('samples', 'expected'),
    [
        ([CROWDED] * SAMPLES_COUNT, True),
        ([CROWDED] * (SAMPLES_COUNT - 1), False),
        # The process stood still once.
        ([(5_000.0, 200), *[(1.0, 200)] * 2], False),
        # The machine is busy with other work.
        ([(5_000.0, BUSY_LIMIT - 1)] * 10, False),
        # The crowd goes, or the loop catches up.
        ([*[CROWDED] * 5, (LATE_MS, BUSY_LIMIT - 1)], False),
        ([*[CROWDED] * 5, (LATE_MS / 2, BUSY_LIMIT)], False),
        # Hysteresis.
        ([*[CROWDED] * 5, (LATE_MS - 1.0, BUSY_LIMIT)], True),
    ],
)
def test_overload_is_sustained_lateness_with_many_requests(
    samples: list[tuple[float, int]], expected: bool
) -> None:
    assert is_overloaded_after(*samples) is expected


def test_crowd_is_taken_as_far_as_the_processor_allows() -> None:
    # An instance handles 500 requests a second, each for 0.9 s; 1,500 connections a second come
    # for 10 s. Without the detector the backlog, and with it each caller's wait, grows to 20 s.
    detector = OverloadDetector()
    backlog, longest_s, taken = 0.0, 0.0, 0
    for _ in range(40):
        offered = 375 if not detector.is_overloaded else 0
        taken += offered
        backlog = max(0.0, backlog + offered - 125.0)
        longest_s = max(longest_s, backlog / 500.0)
        detector.record_sample(backlog / 500.0 * 1e3, int(backlog + 450))
    assert longest_s < 2.5
    assert taken >= 0.75 * 500 * 10
