"""HTTP connection to a backend server or to the platform's store."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from socket import SHUT_RDWR
from typing import TYPE_CHECKING

import gevent
from gevent.socket import wait_write

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.http_head import write_head
from citrondyke.gateway.servers.reply_reader import ReplyReader, accept_any
from citrondyke.gateway.sockets import connect
from citrondyke.util.numbers import parse_count, shortened
from citrondyke.util.own_timeout import is_own_timeout
from citrondyke.util.time_slice import TimeSlice

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.reply_reader import ReplyHead
    from citrondyke.ids import RequestId
    from citrondyke.util.clock import Clock

__all__ = ('ServerConnection', 'open_connection')

READ_BYTES = 65_536
#: Requests on one connection that may be sent again; it is closed after this many.
UNFINISHED_LIMIT = 64
#: Earlier requests whose responses may come late.
CARRIED_LIMIT = 16
#: Bodies up to this size are written before the response is read. Larger ones are written in the
#: background, since a server may respond before it has read the whole body.
DIRECT_BODY_BYTES = 16_384


def open_connection(
    clock: Clock, ip: str, port: int, timeout_ms: float, source_ip: str = ''
) -> ServerConnection:
    """Open a connection.

    :param source_ip: address to connect from; empty for any.
    :raises BrokenReplyError: of kind ``NO_CONNECTION``.
    """
    return ServerConnection(clock, connect(ip, port, timeout_ms, source_ip))


class ServerConnection:
    """Sends one request at a time and reads its response."""

    def __init__(self, clock: Clock, sock: socket.socket) -> None:
        """Use an open socket."""
        self._clock = clock
        self._sock = sock
        self._reply = ReplyReader(is_bodiless=False)
        self._writer: gevent.Greenlet | None = None
        self._reusable_until_ms = 0.0
        self._closes_after_answer = False
        #: Error of sending, or the reason for which this side shut the connection down; empty if
        #: there was none. A read then finds an end as if the server had closed it in order.
        self._broken_by = ''
        self._slice = TimeSlice(clock)
        #: Headers of the last request.
        self.sent_headers: Headers = []
        #: Requests that were sent on it, the latest ones.
        self._carried: deque[RequestId] = deque(maxlen=CARRIED_LIMIT)
        self._unfinished: set[RequestId] = set()
        self._is_late_copy: Callable[[ReplyHead], bool] = accept_any
        #: Idle timeout stated by the server that was ignored as invalid; empty if there was none.
        self.invalid_keep_alive = ''
        #: When bytes were last received, or when the request was sent.
        self.last_activity_ms = clock.now_ms()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request.

        :raises BrokenReplyError: of kind ``CUT``; the server may have received it.
        """
        self.last_activity_ms = self._clock.now_ms()
        self._reply = ReplyReader(is_bodiless=method == b'HEAD', is_late_copy=self._is_late_copy)
        self.sent_headers = headers
        self._slice.start()
        data = write_head(b'%b %b HTTP/1.1' % (method, target), headers) + body
        if len(data) <= DIRECT_BODY_BYTES:
            self._write(data)
            return
        self._writer = gevent.spawn(self._write_in_background, data)

    def read_head(self, until_ms: float) -> ReplyHead:
        """Read the head of the response.

        :raises BrokenReplyError: if none arrives in time.
        """
        while self._reply.head is None:
            self._receive(until_ms)
        self._record_keep_alive(self._reply.head)
        return self._reply.head

    def read_chunk(self, until_ms: float) -> bytes | None:
        """Read the next bytes of the body; ``None`` at its end.

        :raises BrokenReplyError: if it is truncated or does not arrive in time.
        """
        while True:
            chunk = self._reply.take_body()
            if chunk:
                return chunk
            if self._reply.is_whole:
                return None
            self._receive(until_ms)

    def read_body(
        self,
        until_ms: float,
        limit_bytes: int,
        on_chunk: Callable[[int], None] | None = None,
    ) -> bytes:
        """Read a whole body.

        :param on_chunk: called with the size of each chunk before the next one is read.
        :raises BrokenReplyError: if it is truncated or larger than ``limit_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        while (chunk := self.read_chunk(until_ms)) is not None:
            parts.append(chunk)
            size += len(chunk)
            if size > limit_bytes:
                raise BrokenReplyError(
                    ReplyFailureKind.OVERSIZED, f'body: over {limit_bytes} bytes'
                )
            if on_chunk is not None:
                on_chunk(len(chunk))
        return b''.join(parts)

    @property
    def is_framed(self) -> bool:
        """Whether the end of the response is told apart from the end of the connection."""
        return self._reply.is_framed

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection.

        This requires a whole request, a whole response and no bytes after it. Bytes of an extra
        response would be taken for the next request's, and a caller would get a response that
        belongs to another one.
        """
        if self._closes_after_answer or not self._reply.is_reusable:
            return False
        return self._writer is None or self._writer.successful()

    def assign(self, request_id: RequestId, id_of: Callable[[ReplyHead], str]) -> None:
        """Use the connection for a request; responses to earlier ones on it are skipped.

        :param id_of: returns the id that a response states.
        """
        earlier = frozenset(self._carried) - {request_id}
        self._carried.append(request_id)
        self._is_late_copy = lambda head: id_of(head) in earlier

    @property
    def is_first_exchange(self) -> bool:
        """Whether only one request was assigned to the connection."""
        return len(self._carried) == 1

    @property
    def late_copies_count(self) -> int:
        """Count the responses to earlier requests that came before the one to the last."""
        return self._reply.skipped_count

    def close_after_exchange(self) -> None:
        """Keep the connection from being reused."""
        self._closes_after_answer = True

    def record_unfinished(self, request_id: RequestId) -> None:
        """Record a response after which its request may be sent again."""
        self._unfinished.add(request_id)
        if len(self._unfinished) >= UNFINISHED_LIMIT:
            self.close_after_exchange()

    def may_carry(self, request_id: RequestId) -> bool:
        """Whether a response with this id can only be the one to its next send.

        A faulty server may repeat an earlier response where the next one is expected, and all sends
        of a request have the same id.
        """
        return request_id not in self._unfinished

    def is_fresh(self, now_ms: float) -> bool:
        """Whether an idle connection is still usable: open, without input, and not timed out."""
        if now_ms >= self._reusable_until_ms:
            return False
        self._sock.setblocking(False)
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Either the connection was closed or there are unsolicited bytes.
        return False

    def shut_down(self) -> None:
        """Shut the socket down; a greenlet that waits for a response on it then closes it."""
        self._broken_by = 'shut down'
        with suppress(OSError):
            self._sock.shutdown(SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the server then cancels the request."""
        if self._writer is not None:
            self._writer.kill(block=False)
        self._sock.close()

    def _receive(self, until_ms: float) -> None:
        self._slice.pause_if_over()
        asked_ms = self._clock.now_ms()
        try:
            data = self._receive_until(until_ms)
        except BlockingIOError as error:
            raise BrokenReplyError(ReplyFailureKind.SILENT) from error
        except OSError as error:
            if is_own_timeout(error):
                raise BrokenReplyError(ReplyFailureKind.SILENT) from error
            raise BrokenReplyError(ReplyFailureKind.CUT, type(error).__name__) from error
        self.last_activity_ms = self._clock.now_ms()
        self._slice.record_read(asked_ms, self.last_activity_ms)
        if data:
            self._reply.feed(data)
        elif self._broken_by:
            raise BrokenReplyError(ReplyFailureKind.CUT, f'closed after {self._broken_by}')
        else:
            self._reply.end()

    def _receive_until(self, until_ms: float) -> bytes:
        """Receive data; after the deadline only what has arrived already.

        An event loop that is late may reach the deadline first, although the server has responded
        in time. This applies once, so that a server that keeps sending can't extend the deadline.
        """
        left_ms = until_ms - self._clock.now_ms()
        if left_ms > 0:
            self._sock.settimeout(left_ms / 1e3)
            try:
                return bytes(self._sock.recv(READ_BYTES))
            except TimeoutError as error:
                if not is_own_timeout(error):
                    raise
        if self.last_activity_ms > until_ms:
            raise TimeoutError
        self._sock.setblocking(False)
        return bytes(self._sock.recv(READ_BYTES))

    def _write(self, data: bytes) -> None:
        try:
            self._sock.settimeout(2.0)
            self._sock.sendall(data)
        except OSError as error:
            raise BrokenReplyError(ReplyFailureKind.CUT, type(error).__name__) from error

    def _write_in_background(self, data: bytes) -> bool:
        try:
            self._send_all(data)
        except OSError as error:
            # A reset is reported once, to the side that meets it first. The reading side reports
            # it, unless the response has a length and is whole all the same.
            self._closes_after_answer = True
            self._broken_by = type(error).__name__
        return True

    def _send_all(self, data: bytes) -> None:
        """Send without the socket object's timeout, which is that of the reader."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self._sock.send(unsent, 0, 0.0) :]
            except BlockingIOError:
                wait_write(self._sock.fileno())

    def _record_keep_alive(self, head: ReplyHead) -> None:
        connection = (head.header(b'connection') or b'').lower()
        self._closes_after_answer = self._closes_after_answer or b'close' in connection
        stated = _keep_alive_timeout(head.header(b'keep-alive') or b'')
        reusable_ms = DEFAULT_KEEP_ALIVE_MS
        if stated is not None:
            seconds = parse_count(stated, KEEP_ALIVE_LIMIT_S)
            if seconds is None:
                self.invalid_keep_alive = shortened(stated)
            else:
                reusable_ms = max(0.0, seconds * 1e3 - KEEP_ALIVE_MARGIN_MS)
        self._reusable_until_ms = self._clock.now_ms() + reusable_ms


#: Idle timeout of a connection whose server states none.
DEFAULT_KEEP_ALIVE_MS = 4_000.0
#: Subtracted from a stated timeout: the server counts from when it sent the response, and a request
#: that reaches it while it closes may or may not run.
KEEP_ALIVE_MARGIN_MS = 500.0
#: Largest timeout that a server may state, in s; any other is ignored.
KEEP_ALIVE_LIMIT_S = 1_000_000


def _keep_alive_timeout(value: bytes) -> bytes | None:
    """Return the timeout in a ``Keep-Alive`` header as stated; ``None`` if there is none."""
    for part in value.split(b','):
        name, is_set, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout' and is_set:
            return seconds
    return None
