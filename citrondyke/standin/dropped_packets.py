"""Drops what arrives for a socket, as if its machine were gone from the network."""

from __future__ import annotations

import ctypes
import struct
from socket import SOL_SOCKET
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gevent import socket

__all__ = ('drop_received',)

#: Option of Linux that the ``socket`` module does not name.
SO_ATTACH_FILTER = 26
#: Filter of one instruction, "return 0": no byte of any packet is kept.
DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)


def drop_received(sock: socket.socket) -> None:
    """Drop all packets that arrive from now on, acknowledgements and keepalive probes too."""
    code = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = struct.pack('HL', 1, ctypes.addressof(code))
    sock.setsockopt(SOL_SOCKET, SO_ATTACH_FILTER, program)
