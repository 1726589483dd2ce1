"""Pool of keep-alive connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

if TYPE_CHECKING:
    from citrondyke.ids import ServerId

__all__ = ('IdleConnections',)


class IdleConnections:
    """Idle connections by server; the most recently used one is reused first."""

    def __init__(self, idle_limit: int) -> None:
        """Initialize an empty pool.

        :param idle_limit: maximum number of idle connections per server.
        """
        self._idle_limit = idle_limit
        self._idle: dict[tuple[ServerId, str, int], list[HTTPConnection]] = {}

    def acquire(self, server_id: ServerId, ip: str, port: int) -> HTTPConnection:
        """Return an idle connection, or a new one that is not open yet.

        An idle connection with data to read was closed by the server or has the rest of an
        abandoned response. If it were reused, the next caller would get that response.
        """
        idle = self._idle.get((server_id, ip, port))
        while idle:
            connection = idle.pop()
            if connection.sock is not None and not wait_for_read(connection.sock, timeout=0.0):
                return connection
            connection.close()
        return HTTPConnection(ip, port)

    def release(self, server_id: ServerId, connection: HTTPConnection) -> None:
        """Put a connection back into the pool after its last response was read completely."""
        key = (server_id, connection.host, connection.port or 0)
        idle = self._idle.setdefault(key, [])
        if len(idle) >= self._idle_limit:
            connection.close()
            return
        idle.append(connection)
