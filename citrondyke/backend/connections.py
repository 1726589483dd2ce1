"""Keep-alive connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

if TYPE_CHECKING:
    from citrondyke.ids import ServerId

__all__ = ('IdleConnections',)


class IdleConnections:
    """Idle connections by server; the one used last is used first."""

    def __init__(self, idle_limit: int) -> None:
        """Start without connections.

        :param idle_limit: idle connections kept for each server.
        """
        self._idle_limit = idle_limit
        self._idle: dict[tuple[ServerId, str, int], list[HTTPConnection]] = {}

    def acquire(self, server_id: ServerId, ip: str, port: int) -> HTTPConnection:
        """Give a connection that nothing is under way on; it may be a new, unopened one.

        An idle connection with something to read was closed by the server, or holds bytes of an
        answer that was given up on. Handing it out would give the next caller a foreign answer.
        """
        idle = self._idle.get((server_id, ip, port))
        while idle:
            connection = idle.pop()
            if connection.sock is not None and not wait_for_read(connection.sock, timeout=0.0):
                return connection
            connection.close()
        return HTTPConnection(ip, port)

    def release(self, server_id: ServerId, connection: HTTPConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        key = (server_id, connection.host, connection.port or 0)
        idle = self._idle.setdefault(key, [])
        if len(idle) >= self._idle_limit:
            connection.close()
            return
        idle.append(connection)
