"""Sockets of the gateway, set up so that a silent peer is noticed."""

from __future__ import annotations

import contextlib
import socket as std_socket
import struct

from gevent import socket

from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError

__all__ = ('connect', 'reset', 'tune')

#: Unacknowledged bytes end a connection after so long. A partition swallows packets without a
#: reset; without this a sender's buffer would hold a dead connection for minutes.
USER_TIMEOUT_MS = 2_500
#: Idle connections are probed from so long on, and so often.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_EVERY_S = 1
KEEPALIVE_COUNT = 2


def tune(sock: socket.socket) -> None:
    """Send small writes at once and notice a peer that is gone."""
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


def connect(ip: str, port: int, timeout_ms: float, source_ip: str = '') -> socket.socket:
    """Open a connection.

    :param source_ip: address to connect from; empty for any.

    :raises BrokenReplyError: of kind ``NO_CONNECTION``.
    """
    sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    try:
        tune(sock)
        sock.settimeout(max(0.001, timeout_ms / 1e3))
        if source_ip:
            sock.bind((source_ip, 0))
        sock.connect((ip, port))
    except OSError as error:
        sock.close()
        raise BrokenReplyError(BreakKind.NO_CONNECTION, type(error).__name__) from error
    return sock


def reset(sock: socket.socket) -> None:
    """Close a connection by a reset, so that an answer that ends early cannot look complete."""
    # Where the other end closed already there is nothing left to make clear.
    with contextlib.suppress(OSError):
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, struct.pack('ii', 1, 0))
    sock.close()
