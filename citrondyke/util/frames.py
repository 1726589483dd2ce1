"""Length-prefixed messages on a stream."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from typing_extensions import Buffer

__all__ = ('read_frame', 'write_frame')

READ_BYTES = 65_536
_LENGTH = struct.Struct('>I')


class _Socket(Protocol):
    """Methods common to sockets of gevent and of the standard library."""

    def recv(self, size: int, /) -> bytes: ...

    def sendall(self, data: Buffer, /) -> None: ...


def write_frame(sock: _Socket, data: bytes) -> None:
    """Send one message."""
    sock.sendall(_LENGTH.pack(len(data)) + data)


def read_frame(sock: _Socket, limit_bytes: int) -> bytes:
    """Receive one message.

    :raises ValueError: when the declared length exceeds the limit.
    :raises ConnectionError: when the stream ends before the message is complete.
    """
    (length,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
    if length > limit_bytes:
        raise ValueError('frame too large')
    return _read_exactly(sock, length)


def _read_exactly(sock: _Socket, remaining: int) -> bytes:
    parts: list[bytes] = []
    while remaining:
        part = sock.recv(min(remaining, READ_BYTES))
        if not part:
            raise ConnectionError
        parts.append(part)
        remaining -= len(part)
    return b''.join(parts)
