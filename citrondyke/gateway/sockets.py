"""Socket setup of the gateway, so that an unresponsive remote end is detected."""

from __future__ import annotations

import contextlib
import errno
import select
import socket as std_socket
from typing import TYPE_CHECKING

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.util.open_socket import open_socket
from citrondyke.util.reset_on_close import set_reset_on_close

if TYPE_CHECKING:
    from gevent import socket

__all__ = (
    'connect',
    'is_local_failure',
    'is_readable',
    'reset',
    'tune',
)

#: A connection is closed when sent bytes stay unacknowledged for this long. A partition drops
#: packets without a reset; without this limit a dead connection would stay open for minutes.
USER_TIMEOUT_MS = 2_500
#: Keepalive probes of idle connections: time before the first one, interval and limit.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_EVERY_S = 1
KEEPALIVE_COUNT = 2
#: Errors of this machine, which say nothing about the remote end: no free file descriptor, memory
#: or local port.
LOCAL_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


def tune(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and enable detection of a dead remote end."""
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

    def prepare(sock: socket.socket) -> None:
        tune(sock)
        if source_ip:
            sock.bind((source_ip, 0))

    try:
        return open_socket(ip, port, max(0.001, timeout_ms / 1e3), prepare)
    except OSError as error:
        raise BrokenReplyError(ReplyFailureKind.NO_CONNECTION, type(error).__name__) from error


def is_local_failure(error: BrokenReplyError) -> bool:
    """Return whether a connection failed for lack of resources of this machine."""
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno in LOCAL_ERRORS


def is_readable(sock: socket.socket) -> bool:
    """Return whether unread bytes, or the end of the connection, have arrived."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        # The socket was closed, so there is nothing to read.
        return False


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset, so that a truncated response cannot look complete."""
    # If the other end has closed already, no reset is needed.
    with contextlib.suppress(OSError):
        set_reset_on_close(sock, is_on=True)
    sock.close()
