"""Pool of idle connections, by target."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.util.clock import Clock

__all__ = ('ConnectionPool',)


Key = TypeVar('Key', bound=Hashable)


def _is_any(_: ServerConnection) -> bool:
    """Return true; the default of ``may_use``."""
    return True


class ConnectionPool(Generic[Key]):
    """Keeps a few idle connections to each target; the most recently used one is reused first."""

    def __init__(self, clock: Clock, idle_limit: int) -> None:
        """Start empty.

        :param idle_limit: limit on idle connections to each target.
        """
        self._clock = clock
        self._idle_limit = idle_limit
        self._idle: dict[Key, list[ServerConnection]] = {}

    def acquire(
        self, target: Key, may_use: Callable[[ServerConnection], bool] = _is_any
    ) -> ServerConnection | None:
        """Take an idle connection that can still be used; ``None`` if there is none.

        :param may_use: tells connections that suit the request; others stay idle.
        """
        idle = self._idle.get(target, [])
        now_ms = self._clock.now_ms()
        for connection in [each for each in reversed(idle) if may_use(each)]:
            idle.remove(connection)
            if connection.is_fresh(now_ms):
                return connection
            connection.close()
        return None

    def release(self, target: Key, connection: ServerConnection) -> None:
        """Return a connection to the pool, or close it if it may not be reused."""
        idle = self._idle.setdefault(target, [])
        if not connection.is_reusable or len(idle) >= self._idle_limit:
            connection.close()
            return
        idle.append(connection)

    def drop_all(self) -> int:
        """Close all idle connections; return how many there were."""
        count = sum(len(idle) for idle in self._idle.values())
        for target in list(self._idle):
            self.drop(target)
        return count

    def drop(self, target: Key) -> None:
        """Close all idle connections to a target."""
        for connection in self._idle.pop(target, []):
            connection.close()
