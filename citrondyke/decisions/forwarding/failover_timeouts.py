"""Timeouts after which a request to an unresponsive server goes to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import RouteName

__all__ = ('CONNECT_TIMEOUT_MS', 'EVENT_TIMEOUT_MS', 'FailoverTimeouts')

#: A reachable server accepts a connection within a few ms. A full accept queue drops the first
#: packet, which is retransmitted after a second. In a replay of 115 requests at 13 instances
#: (target 300 ms) with one server unresponsive, 26 callers missed the target with a timeout of 300
#: ms and none with this one.
CONNECT_TIMEOUT_MS = 100.0
#: A server that takes this many times its mean is treated as unresponsive. Service times vary by a
#: half, and one request in a hundred takes 5 times the mean.
MEAN_FACTOR = 6.0
#: Part of a route's target after which another server can still answer in time.
TARGET_SHARE = 0.5
#: Callers abandon a stream that sends nothing for 2 s; moving it takes some 50 ms.
MAX_FIRST_ANSWER_MS = 1_200.0
#: Events of a running stream arrive every 30 ms. A preempted request reads its prompt again, which
#: takes some 10 ms in addition to the wait for memory.
EVENT_TIMEOUT_MS = 800.0
#: Weight of a new measurement in a route's mean.
SMOOTHING_FACTOR = 0.15


class FailoverTimeouts:
    """Track the mean time to first answer per route and derive timeouts from it.

    The mean of a server alone is not enough: on a server that mostly answers short requests of one
    route, long requests of another route would be aborted while they are being processed, at one
    server after the other until none is left.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._mean_ms: dict[RouteName, float] = {}

    def record_first_answer(self, route: Route, took_ms: float) -> None:
        """Record the time until an answer or a stream's first event."""
        mean_ms = self._mean_ms.get(route.name, took_ms)
        self._mean_ms[route.name] = mean_ms + SMOOTHING_FACTOR * (took_ms - mean_ms)

    def first_answer_timeout_ms(
        self, route: Route, state: ServerState, expected_wait_ms: float
    ) -> float:
        """Return the timeout for the first byte while another server may be tried."""
        min_ms = TARGET_SHARE * route.target_ms
        typical_ms = max(self._mean_ms.get(route.name, route.target_ms), state.mean_ms)
        return min(MAX_FIRST_ANSWER_MS, max(min_ms, MEAN_FACTOR * typical_ms)) + expected_wait_ms
