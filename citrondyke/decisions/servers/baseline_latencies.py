"""How long answers usually take, by route and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.ids import RouteName, ServiceName

__all__ = ('BaselineLatencies',)

#: Share of a new measurement in the mean.
SMOOTHING_FACTOR = 0.05


class BaselineLatencies:
    """Means over all servers of a service, to compare one server's answers with.

    The requests of two routes of one service differ in length: without the route, a server that
    happens to get the longer ones would pass for a slow one.
    """

    def __init__(self) -> None:
        """Start without a measurement."""
        self._mean_ms: dict[tuple[RouteName, ServiceName], float] = {}

    def record(self, route: RouteName, service: ServiceName, took_ms: float) -> float:
        """Take in an answer's time; give the usual one."""
        known_ms = self._mean_ms.get((route, service), took_ms)
        mean_ms = known_ms + SMOOTHING_FACTOR * (took_ms - known_ms)
        self._mean_ms[route, service] = mean_ms
        return mean_ms
