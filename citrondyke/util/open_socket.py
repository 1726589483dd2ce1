"""Opens TCP connections from a greenlet."""

from __future__ import annotations

import socket as std_socket
from typing import TYPE_CHECKING

from gevent import socket

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('open_socket',)


def open_socket(
    ip: str,
    port: int,
    timeout_s: float,
    prepare: Callable[[socket.socket], None] | None = None,
) -> socket.socket:
    """Open a connection without Nagle's algorithm.

    An event loop that is late and has many events to handle may reach the timeout first, although
    the connection was established in time. The connection is then returned all the same.

    :param prepare: called with the socket before it connects.
    :raises OSError: if there is no connection, a ``TimeoutError`` if it takes too long.
    """
    family = std_socket.AF_INET6 if ':' in ip else std_socket.AF_INET
    sock = socket.socket(family, std_socket.SOCK_STREAM)
    try:
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        if prepare is not None:
            prepare(sock)
        sock.settimeout(timeout_s)
        try:
            sock.connect((ip, port))
        except TimeoutError:
            if not _is_connected(sock):
                raise
    except OSError:
        sock.close()
        raise
    return sock


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
