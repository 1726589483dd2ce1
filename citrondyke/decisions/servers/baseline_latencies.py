"""Typical latency of answers by route and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.ids import RouteName, ServiceName

__all__ = ('BaselineLatencies',)

#: Weight of a new measurement in the mean.
SMOOTHING_FACTOR = 0.05


class BaselineLatencies:
    """Mean latencies over all servers of a service, as the baseline for one server.

    The requests of two routes of one service differ in length: without the route, a server that
    happens to get the longer ones would count as slow.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self._mean_ms: dict[tuple[RouteName, ServiceName], float] = {}

    def record(self, route: RouteName, service: ServiceName, latency_ms: float) -> float:
        """Record the latency of an answer and return the mean."""
        previous_ms = self._mean_ms.get((route, service), latency_ms)
        mean_ms = previous_ms + SMOOTHING_FACTOR * (latency_ms - previous_ms)
        self._mean_ms[route, service] = mean_ms
        return mean_ms
