"""One HTTP connection to a backend server or to the platform's store."""

from __future__ import annotations

from contextlib import suppress
from socket import SHUT_RDWR
from typing import TYPE_CHECKING

import gevent

from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.gateway.http_head import write_head
from citrondyke.gateway.servers.reply_reader import ReplyReader
from citrondyke.gateway.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead
    from citrondyke.util.clock import Clock

__all__ = ('ServerConnection', 'open_connection')

READ_BYTES = 65_536
#: Bodies up to this go out in one write before the answer is read; a longer one is written beside
#: the reading, since a server may answer before it has read everything.
DIRECT_BODY_BYTES = 16_384


def open_connection(
    clock: Clock, ip: str, port: int, timeout_ms: float, source_ip: str = ''
) -> ServerConnection:
    """Connect.

    :raises BrokenReplyError: of kind ``NO_CONNECTION``.
    """
    return ServerConnection(clock, connect(ip, port, timeout_ms, source_ip))


class ServerConnection:
    """Sends one request at a time and reads its answer."""

    def __init__(self, clock: Clock, sock: socket.socket) -> None:
        """Use an open socket."""
        self._clock = clock
        self._sock = sock
        self._reply = ReplyReader(is_bodiless=False)
        self._writer: gevent.Greenlet | None = None
        self._reusable_until_ms = 0.0
        self._closes_after_answer = False
        #: When it last brought anything, or was sent the request.
        self.last_activity_ms = clock.now_ms()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request.

        :raises BrokenReplyError: of kind ``CUT``; the server may have read it.
        """
        self.last_activity_ms = self._clock.now_ms()
        self._reply = ReplyReader(is_bodiless=method == b'HEAD')
        data = write_head(b'%b %b HTTP/1.1' % (method, target), headers) + body
        if len(data) <= DIRECT_BODY_BYTES:
            self._write(data)
            return
        self._writer = gevent.spawn(self._write_in_background, data)

    def read_head(self, until_ms: float) -> ReplyHead:
        """Read the head of the answer.

        :raises BrokenReplyError: when none comes in time.
        """
        while self._reply.head is None:
            self._receive(until_ms)
        self._record_keep_alive(self._reply.head)
        return self._reply.head

    def read_chunk(self, until_ms: float) -> bytes | None:
        """Read the next bytes of the body; ``None`` at its end.

        :raises BrokenReplyError: when it breaks off.
        """
        while True:
            piece = self._reply.take()
            if piece:
                return piece
            if self._reply.is_whole:
                return None
            self._receive(until_ms)

    def read_body(
        self,
        until_ms: float,
        limit_bytes: int,
        on_piece: Callable[[int], None] | None = None,
    ) -> bytes:
        """Read a whole body.

        :param on_piece: called with the size of each piece before the next one is read.
        :raises BrokenReplyError: when it breaks off or is too large.
        """
        parts: list[bytes] = []
        size = 0
        while (piece := self.read_chunk(until_ms)) is not None:
            parts.append(piece)
            size += len(piece)
            if size > limit_bytes:
                raise BrokenReplyError(BreakKind.MALFORMED, f'over {limit_bytes} bytes')
            if on_piece is not None:
                on_piece(len(piece))
        return b''.join(parts)

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent on it.

        Only after a whole answer to a wholly sent request with nothing behind it: bytes of an
        extra answer would be taken for the next request's, and a caller would get an answer that
        belongs to somebody else.
        """
        if self._closes_after_answer or not self._reply.is_reusable:
            return False
        return self._writer is None or self._writer.successful()

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether an idle connection is still good: silent, open and not timed out."""
        if now_ms >= self._reusable_until_ms:
            return False
        self._sock.setblocking(False)
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Either the end of the connection or bytes that nobody asked for.
        return False

    def shut_down(self) -> None:
        """End it for whoever waits for an answer on it; that one closes it."""
        with suppress(OSError):
            self._sock.shutdown(SHUT_RDWR)

    def close(self) -> None:
        """Close; a server drops what it still does for it."""
        if self._writer is not None:
            self._writer.kill(block=False)
        self._sock.close()

    def _receive(self, until_ms: float) -> None:
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise BrokenReplyError(BreakKind.SILENT)
        self._sock.settimeout(left_ms / 1e3)
        try:
            data: bytes = self._sock.recv(READ_BYTES)
        except TimeoutError as error:
            raise BrokenReplyError(BreakKind.SILENT) from error
        except OSError as error:
            raise BrokenReplyError(BreakKind.CUT, type(error).__name__) from error
        self.last_activity_ms = self._clock.now_ms()
        if data:
            self._reply.feed(data)
        else:
            self._reply.end()

    def _write(self, data: bytes) -> None:
        try:
            self._sock.settimeout(2.0)
            self._sock.sendall(data)
        except OSError as error:
            raise BrokenReplyError(BreakKind.CUT, type(error).__name__) from error

    def _write_in_background(self, data: bytes) -> bool:
        try:
            self._sock.sendall(data)
        except OSError:
            # The reader sees the end of the connection and reports it.
            self._closes_after_answer = True
        return True

    def _record_keep_alive(self, head: ReplyHead) -> None:
        connection = (head.header(b'connection') or b'').lower()
        self._closes_after_answer = self._closes_after_answer or b'close' in connection
        self._reusable_until_ms = self._clock.now_ms() + _reusable_ms(head.header(b'keep-alive'))


#: Idle time of a connection whose server states no timeout.
DEFAULT_KEEP_ALIVE_MS = 4_000.0
#: Taken off a stated timeout: the server counts from when it sent the answer, and a request that
#: crosses its close may or may not run.
KEEP_ALIVE_MARGIN_MS = 500.0


def _reusable_ms(value: bytes | None) -> float:
    """Read ``timeout`` of a ``Keep-Alive`` header, as ms that are safe to use."""
    if value is None:
        return DEFAULT_KEEP_ALIVE_MS
    for part in value.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.isdigit():
            return max(0.0, int(seconds) * 1e3 - KEEP_ALIVE_MARGIN_MS)
    return DEFAULT_KEEP_ALIVE_MS
