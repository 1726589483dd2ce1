"""Connection of a caller: reads requests, and writes responses whole or in chunks."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import h11
import logbook
from gevent.socket import wait_read

from citrondyke.decisions.memory.byte_budget import HeldKind
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.callers.request_reader import READ_BYTES, RequestReader
from citrondyke.gateway.http_head import write_head
from citrondyke.gateway.sockets import is_readable, reset
from citrondyke.util.own_timeout import is_own_timeout
from citrondyke.util.reset_on_close import set_reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gevent import socket

    from citrondyke.decisions.forwarding.route import RouteLimits
    from citrondyke.decisions.memory.byte_budget import ByteBudget
    from citrondyke.gateway.callers.caller_request import CallerRequest
    from citrondyke.gateway.http_head import Header, Headers
    from citrondyke.util.clock import Clock

__all__ = ('CallerConnection',)

log = logbook.Logger(__name__)

#: A connection on which a response makes no progress for this long is closed.
WRITE_STALL_S = 10.0
#: How long the bytes of a caller are discarded before its connection is closed.
DISCARD_S = 0.2
#: Bytes that a caller may send while it waits for a response.
PIPELINED_LIMIT_BYTES = 65_536


class CallerConnection:
    """Reads requests and writes their responses, one at a time."""

    def __init__(
        self,
        clock: Clock,
        sock: socket.socket,
        limits: Callable[[], RouteLimits],
        budget: ByteBudget,
    ) -> None:
        """Use an accepted socket."""
        self._sock = sock
        self._held = budget.open(HeldKind.REQUEST)
        self._reader = RequestReader(clock, sock, limits, self._write, self._held)
        self._disconnect_watcher: gevent.Greenlet | None = None
        self._closes_after_answer = False
        self._is_closed = False
        #: The head of a stream whose first chunk has not been sent yet.
        self._unsent_head = b''
        self._is_chunked = False
        #: Whether the body of the response ends with the connection, and with nothing else.
        self._ends_with_connection = False
        self._has_body = True
        #: Whether a part of the response to the current request may have been sent.
        self.has_begun_answer = False
        #: Whether all bytes of that response were written. The HTTP state says so before they are.
        self._is_all_written = False

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request was read, so that the connection may be closed."""
        return self._reader.is_idle

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed, or is being closed after its last response."""
        return self._is_closed

    @property
    def is_readable(self) -> bool:
        """Whether unread bytes of the caller, or its disconnect, have arrived."""
        return is_readable(self._sock)

    def read_request(self) -> CallerRequest | None:
        """Read the next request; ``None`` when the caller closed or was idle for too long.

        :raises BadRequestHeadError: if it is malformed, too large or too slow.
        :raises MemoryFullError: if the instance has no free memory for its body.
        """
        self.has_begun_answer = self._is_all_written = False
        request = self._reader.read()
        if request is not None:
            self._has_body = request.method != b'HEAD'
            # An interim response may have been sent.
            self.has_begun_answer = False
        return request

    @property
    def _http(self) -> h11.Connection:
        return self._reader.http

    def watch(self) -> None:
        """Raise ``CallerGoneError`` in the current greenlet when the caller disconnects."""
        self._disconnect_watcher = gevent.spawn(self._watch_disconnect, gevent.getcurrent())

    def stop_watching_disconnect(self) -> None:
        """Stop watching for the caller's disconnect."""
        if self._disconnect_watcher is not None:
            self._disconnect_watcher.kill()
            self._disconnect_watcher = None

    def close_after_answer(self) -> None:
        """Announce in the next response that the connection closes after it."""
        self._closes_after_answer = True

    def send_whole(
        self, status: int, headers: Headers, body: bytes, *, is_framed: bool = True
    ) -> None:
        """Send a whole response.

        :param is_framed: whether the response states its length. If not, it ends with its
            connection, as did that of its server.
        :raises CallerGoneError: if the caller does not read it.
        """
        if not is_framed:
            self.start_stream(status, headers, is_framed=False)
            self.send_chunk(body)
            self.end_stream()
            return
        framing: Headers = [(b'Content-Length', str(len(body)).encode())]
        head = self._head(status, headers + framing)
        data = self._http.send(h11.Data(data=body)) if body else b''
        self._write(head + (data or b'') + (self._http.send(h11.EndOfMessage()) or b''))
        self._is_all_written = True

    def reject_unread(self, status: int, headers: Sequence[Header] = ()) -> None:
        """Reject a request that was not read whole; the connection cannot be reused."""
        phrase = HTTPStatus(status).phrase.encode()
        lines = b''.join(b'%b: %b\r\n' % header for header in headers)
        self._write(
            b'HTTP/1.1 %d %b\r\n%bContent-Length: 0\r\nConnection: close\r\n\r\n'
            % (status, phrase, lines)
        )
        self._is_all_written = True

    @property
    def has_whole_answer(self) -> bool:
        """Whether the response to the current request is whole."""
        return self.has_begun_answer and self._is_all_written

    def send_error(self, status: int, headers: Sequence[Header]) -> None:
        """Answer a request whose handling failed, and close the connection afterwards.

        The response does not depend on the HTTP state, which may be what failed. Where a part of
        another response was sent, the connection is reset instead; a whole one is kept.

        :raises CallerGoneError: if the caller does not read it.
        """
        self.stop_watching_disconnect()
        self.close_after_answer()
        if not self.has_begun_answer:
            self.reject_unread(status, headers)
        elif not self.has_whole_answer:
            self.abort()

    def release_request(self) -> None:
        """Release the memory of the last request's body."""
        self._held.release()

    def start_stream(self, status: int, headers: Headers, *, is_framed: bool = True) -> None:
        """Begin a response of unknown length; its head is sent with the first chunk.

        :param is_framed: whether the response states its end. If not, it ends with its connection,
            as do all streams of HTTP/1.0, which has no chunked encoding.
        :raises CallerGoneError: if the caller's connection is closed.
        """
        if is_framed:
            headers = [*headers, (b'Transfer-Encoding', b'chunked')]
            self._unsent_head = self._head(status, headers)
            is_chunked = b'\r\ntransfer-encoding: chunked\r\n' in self._unsent_head.lower()
        else:
            self._unsent_head = self._unframed_head(status, headers)
            is_chunked = False
        # A response to HEAD has no body.
        self._is_chunked = self._has_body and is_chunked
        if self._has_body and not is_chunked:
            self._end_with_connection()

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a stream.

        :raises CallerGoneError: if the caller does not read it.
        """
        if self._is_chunked and data:
            # Framed here, since h11 checks its whole state again for each chunk.
            framed = b'%x\r\n%b\r\n' % (len(data), data)
        elif self._ends_with_connection:
            framed = data
        else:
            framed = self._http.send(h11.Data(data=data)) or b''
        self._write(self._take_unsent_head() + framed)

    def end_stream(self) -> None:
        """End a stream, marking it as complete."""
        end = self._http.send(h11.EndOfMessage()) or b''
        self._write(self._take_unsent_head() + (b'' if self._ends_with_connection else end))
        self._is_all_written = True

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return (
            not self._is_closed
            and not self._closes_after_answer
            and self.has_whole_answer
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    def abort(self) -> None:
        """Reset the connection, so that a truncated response cannot look complete."""
        self.stop_watching_disconnect()
        self._is_closed = True
        reset(self._sock)

    def close(self) -> None:
        """Close the connection after its last response.

        Closing a socket with unread bytes sends a reset, which can overtake the response. So the
        writing side is shut down first, and incoming bytes are read and discarded for a moment. The
        time is limited as a whole: a caller may send without end.

        A response that is not whole is reset instead.
        """
        self.stop_watching_disconnect()
        if self._is_closed:
            return
        if self.has_begun_answer and not self.has_whole_answer:
            log.error('connection.left_midway', extra={'is_chunked': self._is_chunked})
            self.abort()
            return
        self._is_closed = True
        try:
            if self._ends_with_connection:
                set_reset_on_close(self._sock, is_on=False)
            self._sock.shutdown(1)
            with gevent.Timeout(DISCARD_S, False):
                while self._sock.recv(READ_BYTES):
                    gevent.sleep(0.001)
        except OSError:
            # The caller closed first or sends nothing; in both cases the response was sent.
            pass
        self._sock.close()

    def close_idle_connection(self) -> None:
        """Close an idle connection without waiting."""
        self._is_closed = True
        self._sock.close()

    def _take_unsent_head(self) -> bytes:
        unsent, self._unsent_head = self._unsent_head, b''
        return unsent

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closes_after_answer:
            headers = [*headers, (b'Connection', b'close')]
        response = h11.Response(status_code=status, headers=headers, reason=_reason(status))
        return self._http.send(response) or b''

    def _unframed_head(self, status: int, headers: Headers) -> bytes:
        """Write the head of a response that ends with the connection.

        h11 records the response, but its own head for HTTP/1.1 would announce chunks.
        """
        self.close_after_answer()
        self._head(status, headers)
        first_line = b'HTTP/1.1 %d %b' % (status, _reason(status))
        return write_head(first_line, [*headers, (b'Connection', b'close')])

    def _end_with_connection(self) -> None:
        """Have the connection reset if this process ends before the response does.

        The kernel closes the connections of a killed process in order, and the caller would take
        the part that it has for the whole response.

        :raises CallerGoneError: if the caller's connection is closed.
        """
        self._ends_with_connection = True
        try:
            set_reset_on_close(self._sock, is_on=True)
        except OSError as error:
            raise CallerGoneError from error

    def _watch_disconnect(self, worker: gevent.Greenlet) -> None:
        """Wait for the caller's disconnect while its request is in progress.

        Without this a server would go on working for a caller that has disconnected, and other
        requests would wait for that capacity.
        """
        while len(self._reader.pipelined) < PIPELINED_LIMIT_BYTES:
            try:
                wait_read(self._sock.fileno())
                data = self._sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except TimeoutError as error:
                if is_own_timeout(error):
                    continue
                data = b''
            except OSError:
                data = b''
            if not data:
                worker.kill(CallerGoneError, block=False)
                return
            self._reader.pipelined += data

    def _write(self, data: bytes) -> None:
        if not data:
            return
        self.has_begun_answer = True
        try:
            self._sock.settimeout(WRITE_STALL_S)
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError from error


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
