"""Has the kernel reset a connection whose response may be cut."""

from __future__ import annotations

import socket as std_socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gevent import socket

__all__ = ('set_reset_on_close',)


def set_reset_on_close(sock: socket.socket, *, is_on: bool) -> None:
    """Set whether a close resets the connection, also when the kernel closes it at a SIGKILL.

    :raises OSError: if the socket is closed.
    """
    linger = struct.pack('ii', 1 if is_on else 0, 0)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)
