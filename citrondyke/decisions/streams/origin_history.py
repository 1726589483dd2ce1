"""The origins that streams of each route can have had lately."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from citrondyke.decisions.forwarding.route_table import EMPTY_ROUTE_TABLE, NoRoute
from citrondyke.decisions.streams.stream_origin import OriginView

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route_table import RouteTable
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.ids import ServiceName

__all__ = ('OriginHistory',)

#: A stream may be resumed after the timeout of its route, for as long again.
STREAM_LIFE_FACTOR = 2.0
#: Time by which the server list of an instance may lag behind that of another one.
LIST_LAG_MS = 1_000.0
#: After a longer gap between two reads of the list the instance may have missed a version.
UPDATE_GAP_MS = 2_000.0
#: Earlier configurations that are remembered.
TABLES_LIMIT = 4


class OriginHistory:
    """Remembers listed origins and earlier configurations for as long as a stream may live."""

    def __init__(self, context: Context) -> None:
        """Start without a server list."""
        self._context = context
        self._listed_ms: dict[StreamOrigin, float] = {}
        self._table = EMPTY_ROUTE_TABLE
        #: Earlier configurations, each with the time when it was replaced.
        self._earlier: deque[tuple[float, RouteTable]] = deque()
        self._updated_ms = float('-inf')
        #: Everything since this time is known.
        self._complete_since_ms = float('inf')

    @property
    def window_ms(self) -> float:
        """Return the time for which a stream may live and be resumed."""
        return STREAM_LIFE_FACTOR * self._table.longest_stream_ms + LIST_LAG_MS

    def update(
        self, listed: Collection[StreamOrigin], table: RouteTable, confirmed_ms: float
    ) -> None:
        """Apply the origins of all listed servers, leaving ones included.

        :param confirmed_ms: time up to which the list has all changes, by the fence clock.
        """
        now_ms = self._context.clock.fence_ms()
        if confirmed_ms - self._updated_ms > UPDATE_GAP_MS and listed:
            self._complete_since_ms = now_ms
        if listed:
            self._updated_ms = max(confirmed_ms, self._updated_ms)
        if table is not self._table:
            self._earlier.append((now_ms, self._table))
            self._table = table
        while self._earlier and self._earlier[0][0] < now_ms - self.window_ms:
            self._earlier.popleft()
        if len(self._earlier) > TABLES_LIMIT:
            self._earlier.popleft()
            self._complete_since_ms = now_ms
        for origin in listed:
            self._listed_ms[origin] = now_ms
        oldest_ms = now_ms - self.window_ms
        if any(listed_ms < oldest_ms for listed_ms in self._listed_ms.values()):
            self._listed_ms = {
                origin: listed_ms
                for origin, listed_ms in self._listed_ms.items()
                if listed_ms >= oldest_ms
            }

    def observe(self, origin: StreamOrigin) -> None:
        """Apply an origin that a peer has streams of; its server list may be ahead."""
        self._listed_ms[origin] = self._context.clock.fence_ms()

    @property
    def covered_ms(self) -> float:
        """Return for how long everything is known; negative without a server list."""
        return max(-1.0, self._context.clock.fence_ms() - self._complete_since_ms)

    @property
    def is_complete(self) -> bool:
        """Return whether the whole window is known."""
        return self.covered_ms >= self.window_ms

    def services(self, host: str, path: str) -> frozenset[ServiceName]:
        """Return the services that a route has had within the window."""
        found: set[ServiceName] = set()
        for table in (self._table, *(table for _, table in self._earlier)):
            route = table.find(host, path)
            if not isinstance(route, NoRoute):
                found.update(share.service for share in route.shares)
        return frozenset(found)

    def origins(self, services: Collection[ServiceName]) -> frozenset[StreamOrigin]:
        """Return the origins of services within the window."""
        return frozenset(origin for origin in self._listed_ms if origin.service in services)

    @property
    def has_several_versions(self) -> bool:
        """Return whether any service had several origins within the window."""
        return len({origin.service for origin in self._listed_ms}) < len(self._listed_ms)

    def view(self, services: Collection[ServiceName]) -> OriginView:
        """Return what this instance knows of the origins of services."""
        return OriginView(self.origins(services), self.is_complete)
