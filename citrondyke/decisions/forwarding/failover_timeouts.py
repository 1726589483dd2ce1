"""How long a silent server is waited for before the request goes to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import RouteName

__all__ = ('CONNECT_TIMEOUT_MS', 'EVENT_TIMEOUT_MS', 'FailoverTimeouts')

#: A server in reach takes a connection within a few ms; its full queue of new ones drops the
#: first packet, which comes again after a second. 26 callers of a server that went silent were
#: late with 300 ms, none with this (replay of 115 requests at 13 instances, target 300 ms).
CONNECT_TIMEOUT_MS = 100.0
#: A server that is this many times slower than usual is taken for silent. Work times spread by a
#: half and one request in a hundred takes 5 times the mean.
MEAN_FACTOR = 6.0
#: Part of a route's target after which another server still is in time.
TARGET_SHARE = 0.5
#: Callers leave a stream that is silent for 2 s; moving it takes some 50 ms.
MAX_FIRST_ANSWER_MS = 1_200.0
#: Events of a running stream come every 30 ms; a preempted request reads its prompt again, which
#: takes some 10 ms beside the wait for memory.
EVENT_TIMEOUT_MS = 800.0
#: Share of a new measurement in a route's mean.
SMOOTHING_FACTOR = 0.15


class FailoverTimeouts:
    """Knows how long each route's requests usually take until their first answer.

    The mean of a server alone would not do: short requests of one route would have long ones of
    another cut in the middle of their work, at one server after the other, until none is left.
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self._mean_ms: dict[RouteName, float] = {}

    def record_first_answer(self, route: Route, took_ms: float) -> None:
        """Take in the time until an answer, or until a stream's first event."""
        known_ms = self._mean_ms.get(route.name, took_ms)
        self._mean_ms[route.name] = known_ms + SMOOTHING_FACTOR * (took_ms - known_ms)

    def first_answer_timeout_ms(
        self, route: Route, state: ServerState, expected_wait_ms: float
    ) -> float:
        """Give the time to wait for a first byte where another server may be tried."""
        shortest_ms = TARGET_SHARE * route.target_ms
        usual_ms = max(self._mean_ms.get(route.name, route.target_ms), state.mean_ms)
        return min(MAX_FIRST_ANSWER_MS, max(shortest_ms, MEAN_FACTOR * usual_ms)) + expected_wait_ms
