"""Service time on a server: what it reports, and what its answers show."""

from __future__ import annotations

import math

import pytest

from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.servers.latency_ratio import LatencyRatio
from citrondyke.decisions.servers.reported_slowdown import ReportedSlowdown
from citrondyke.gateway.servers.reply_reader import ReplyHead
from citrondyke.ids import ServerIncarnation
from citrondyke.platform.dialect import PlatformDialect
from tests.support.peers import listed_server


def pace_of(value: bytes) -> float | None:
    return PlatformDialect().reply_metadata(ReplyHead(200, [(b'instance-load', value)]), []).pace


@pytest.mark.parametrize(
    ('value', 'pace'), [(b'3,0,8,250', 2.5), (b'3,0,8, 90', 0.9), (b'3,0,8', None), (b'', None)]
)
def test_fourth_value_of_the_load_header_is_read(value: bytes, pace: float | None) -> None:
    assert pace_of(value) == pace


@pytest.mark.parametrize(
    'figure', [b'', b'fast', b'-5', b'0', b'1000000000', b'nan', b'inf', b'\xff', b'9' * 6_000]
)
def test_implausible_slowdown_is_ignored_but_not_the_counts(figure: bytes) -> None:
    # A server reports nonsense about its machine; if it counted, the server would attract all
    # requests or none.
    value = b'3,1,8,' + figure
    metadata = PlatformDialect().reply_metadata(ReplyHead(200, [(b'instance-load', value)]), [])
    assert metadata.load == (3, 1)
    assert metadata.pace is not None
    pace = ReportedSlowdown()
    assert not pace.record(metadata.pace, 0.0)
    assert pace.factor(0.0) == 1.0


def test_implausible_count_does_not_keep_all_requests_away() -> None:
    metadata = PlatformDialect().reply_metadata(
        ReplyHead(200, [(b'instance-load', b'1' * 6_000 + b',0')]), []
    )
    assert metadata.load is not None
    state = ServerState(listed_server('s-0', 's'), ServerIncarnation('s-0'))
    state.record_reported_load(*metadata.load, 0.0)
    assert state.total_count(0.0) <= 16 * 8


def test_reported_slowdown_loses_weight_with_age() -> None:
    pace = ReportedSlowdown()
    for number in range(50):
        pace.record(1.0, number)
    pace.record(2.5, 100.0)
    assert pace.factor(100.0) == pytest.approx(2.5)
    assert 1.6 < pace.factor(250.0) < 2.1
    assert pace.factor(2_000.0) < 1.2


def test_constant_slowdown_counts_as_reported() -> None:
    pace = ReportedSlowdown()
    for number in range(50):
        pace.record(1.3, number)
    assert pace.factor(10_000.0) == pytest.approx(1.3)


def test_reported_slowdown_is_bounded() -> None:
    pace = ReportedSlowdown()
    assert pace.record(99.0, 0.0)
    assert pace.factor(0.0) == 4.0
    assert not pace.record(math.nan, 0.0)


def test_latency_ratio_is_independent_of_the_reported_slowdown() -> None:
    # A server takes 1.6 times the typical 20 ms, and its machine is slow for half of the time.
    state = ServerState(listed_server('s-0', 's'), ServerIncarnation('s-0'))
    for number in range(60):
        now_ms = number * 500.0
        pace = 2.0 if number % 2 else 1.0
        state.reported_slowdown.record(pace, now_ms)
        state.record_latency_ratio(20.0 * 1.6 * pace, 20.0, now_ms)
    assert state.latency_ratio.factor == pytest.approx(1.6, rel=0.05)


def test_one_long_answer_does_not_mark_a_server_as_slow() -> None:
    speed = LatencyRatio()
    for _ in range(20):
        speed.record(20.0, 20.0)
    speed.record(400.0, 20.0)
    assert speed.factor <= 1.2


def test_server_that_reports_no_slowdown_counts_as_average() -> None:
    state = ServerState(listed_server('s-0', 's'), ServerIncarnation('s-0'))
    for _ in range(20):
        state.record_latency_ratio(80.0, 20.0, 0.0)
    assert state.expected_slowdown(0.0) == 1.0
