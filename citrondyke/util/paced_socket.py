"""Socket that is read within a deadline, and in turns with other greenlets."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING, Any

from citrondyke.util.time_slice import TimeSlice

if TYPE_CHECKING:
    from gevent import socket
    from typing_extensions import Buffer

    from citrondyke.util.clock import Clock

__all__ = ('PacedSocket',)


class PacedSocket:
    """Passes everything on to a socket, and paces what is read from its files.

    Libraries read in loops of their own, in which neither a timer fires nor another greenlet runs
    as long as the other end sends faster than its bytes are processed.
    """

    def __init__(self, clock: Clock, sock: socket.socket) -> None:
        """Wrap an open socket."""
        self._sock = sock
        self.clock = clock
        self.time_slice = TimeSlice(clock)
        #: Monotonic time after which reading fails.
        self.until_ms = float('inf')
        #: Whether a read has found the end of the connection.
        self.has_ended = False

    def makefile(self, *_: object, **__: object) -> io.BufferedReader:
        """Open a file for reading; it keeps the socket open until it is closed."""
        return io.BufferedReader(_PacedReader(self, self._sock.makefile('rb', buffering=0)))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class _PacedReader(io.RawIOBase):
    def __init__(self, paced: PacedSocket, raw: io.RawIOBase) -> None:
        self._paced = paced
        self._raw = raw

    def readable(self) -> bool:
        """Return that this is a file for reading."""
        return True

    def readinto(self, buffer: Buffer, /) -> int | None:
        """Read what has arrived.

        :raises TimeoutError: if the deadline has passed.
        """
        paced = self._paced
        paced.time_slice.pause_if_over()
        asked_ms = paced.clock.now_ms()
        if asked_ms >= paced.until_ms:
            raise TimeoutError
        size = self._raw.readinto(buffer)
        paced.has_ended = paced.has_ended or size == 0
        paced.time_slice.record_read(asked_ms, paced.clock.now_ms())
        return size

    def close(self) -> None:
        """Close the file."""
        self._raw.close()
        super().close()
