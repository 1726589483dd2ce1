"""All routes of one version of the configuration."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.decisions.forwarding.route import Route, RouteLimits
from citrondyke.ids import ConfigVersion

__all__ = ('EMPTY_ROUTE_TABLE', 'NO_ROUTE', 'NoRoute', 'NoRouteReason', 'RouteTable')


class NoRouteReason(Enum):
    """Why there is no route."""

    UNKNOWN = 'unknown'


class NoRoute(msgspec.Struct, frozen=True):
    """Stands in the place of a route."""

    reason: NoRouteReason

    def __bool__(self) -> bool:
        """Count as no route."""
        return False


NO_ROUTE = NoRoute(NoRouteReason.UNKNOWN)


class RouteTable(msgspec.Struct, frozen=True):
    """Routes by host, the longest prefix first."""

    version: ConfigVersion
    routes: tuple[Route, ...] = ()
    limits: RouteLimits = RouteLimits()

    def find(self, host: str, path: str) -> Route | NoRoute:
        """Choose the route of a request: its host's longest prefix that begins the path."""
        best: Route | NoRoute = NO_ROUTE
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if isinstance(best, NoRoute) or len(route.prefix) > len(best.prefix):
                best = route
        return best


EMPTY_ROUTE_TABLE = RouteTable(ConfigVersion(0))
