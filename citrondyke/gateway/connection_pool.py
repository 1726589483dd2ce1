"""Idle connections to backend servers, by server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.gateway.server_connection import ServerConnection
    from citrondyke.ids import ServerId
    from citrondyke.util.clock import Clock

__all__ = ('ConnectionPool',)


class ConnectionPool:
    """Keeps a few idle connections to each server, the one used last first."""

    def __init__(self, clock: Clock, idle_limit: int) -> None:
        """Start empty.

        :param idle_limit: idle connections kept to each server.
        """
        self._clock = clock
        self._idle_limit = idle_limit
        self._idle: dict[ServerId, list[ServerConnection]] = {}

    def take(self, server_id: ServerId) -> ServerConnection | None:
        """Take an idle connection that still looks good; ``None`` where there is none."""
        idle = self._idle.get(server_id)
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            if connection.is_fresh(now_ms):
                return connection
            connection.close()
        return None

    def give(self, server_id: ServerId, connection: ServerConnection) -> None:
        """Give a connection back; one that may not be used again is closed."""
        idle = self._idle.setdefault(server_id, [])
        if not connection.may_keep or len(idle) >= self._idle_limit:
            connection.close()
            return
        idle.append(connection)

    def drop(self, server_id: ServerId) -> None:
        """Close all idle connections to a server."""
        for connection in self._idle.pop(server_id, []):
            connection.close()
