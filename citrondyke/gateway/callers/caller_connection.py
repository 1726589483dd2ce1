"""One connection of a caller: requests read strictly, answers written whole or piece by piece."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import h11
import msgspec
from gevent.socket import wait_read

from citrondyke.errors.bad_request_head import BadRequestHeadError
from citrondyke.errors.caller_gone import CallerGoneError
from citrondyke.gateway.callers.strict_head import check_head
from citrondyke.gateway.sockets import reset

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

    from citrondyke.decisions.forwarding.route import RouteLimits
    from citrondyke.gateway.http_head import Headers
    from citrondyke.util.clock import Clock

__all__ = ('CallerConnection', 'CallerRequest')

READ_BYTES = 65_536
#: A caller that does not read its answer is given up after so long without progress.
WRITE_STALL_S = 10.0
#: Bytes that a caller may send while it waits for an answer.
AHEAD_BYTES = 65_536
HEAD_END = b'\r\n\r\n'


class CallerRequest(msgspec.Struct, frozen=True):
    """One request, read whole."""

    method: bytes
    #: Path and query, as sent.
    target: bytes
    #: Names in lower case.
    headers: list[tuple[bytes, bytes]]
    body: bytes
    #: When its head began to arrive.
    arrived_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Find a header by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """Give the host without a port."""
        return (self.header(b'host') or b'').decode('latin-1').partition(':')[0].lower()

    @property
    def path(self) -> str:
        """Give the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


class CallerConnection:
    """Reads requests and writes their answers, one at a time."""

    def __init__(
        self, clock: Clock, sock: socket.socket, limits: Callable[[], RouteLimits]
    ) -> None:
        """Use an accepted socket."""
        self._clock = clock
        self._sock = sock
        self._limits = limits
        self._http = h11.Connection(h11.SERVER)
        self._ahead = b''
        self._watch: gevent.Greenlet | None = None
        self._closes_after = False
        self._is_closed = False
        #: The head of a stream that no piece has followed yet.
        self._unsent = b''
        self._is_chunked = False
        self._has_body = True
        #: Whether nothing of a request was read: such a connection may end at any time.
        self.is_idle = True

    def read_request(self) -> CallerRequest | None:
        """Read the next request; ``None`` when the caller closed or was idle for too long.

        :raises BadRequestHeadError: when it is improper, too large or too slow.
        """
        self.is_idle = True
        limits = self._limits()
        head = self._read_raw_head(limits)
        if head is None:
            return None
        arrived_ms = self._clock.now_ms()
        check_head(head)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes + 1)
        self._http.receive_data(head)
        try:
            request = self._http.next_event()
            if not isinstance(request, h11.Request):
                raise BadRequestHeadError('no request line')
            body = self._read_body(limits)
        except h11.RemoteProtocolError as error:
            raise BadRequestHeadError(str(error)) from error
        self._has_body = request.method != b'HEAD'
        headers = [(bytes(name), bytes(value)) for name, value in request.headers]
        self._ahead = self._http.trailing_data[0]
        return CallerRequest(
            bytes(request.method), bytes(request.target), headers, body, arrived_ms
        )

    def watch(self) -> None:
        """End the current greenlet's work by ``CallerGoneError`` when the caller closes."""
        self._watch = gevent.spawn(self._watch_close, gevent.getcurrent())

    def unwatch(self) -> None:
        """Look for the caller's close no more."""
        if self._watch is not None:
            self._watch.kill()
            self._watch = None

    def close_after_answer(self) -> None:
        """Say in the next answer that the connection closes."""
        self._closes_after = True

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        :raises CallerGoneError: when the caller does not take it.
        """
        framing: Headers = [(b'Content-Length', str(len(body)).encode())]
        head = self._head(status, headers + framing)
        data = self._http.send(h11.Data(data=body)) if body else b''
        self._write(head + (data or b'') + (self._http.send(h11.EndOfMessage()) or b''))

    def refuse_improper(self, status: int) -> None:
        """Answer an improper request; the connection cannot be used afterwards."""
        phrase = HTTPStatus(status).phrase.encode()
        self._write(
            b'HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' % (status, phrase)
        )

    def start_stream(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known; its head goes out with the first piece."""
        self._unsent = self._head(status, [*headers, (b'Transfer-Encoding', b'chunked')])
        # An older protocol has no pieces, and an answer to HEAD no body.
        self._is_chunked = self._has_body and b'\r\ntransfer-encoding: chunked\r\n' in (
            self._unsent.lower()
        )

    def send_piece(self, data: bytes) -> None:
        """Send a piece of a stream.

        :raises CallerGoneError: when the caller does not take it.
        """
        if self._is_chunked and data:
            # Framed here: the library checks its whole state anew for each piece.
            framed = b'%x\r\n%b\r\n' % (len(data), data)
        else:
            framed = self._http.send(h11.Data(data=data)) or b''
        self._write(self._take_unsent() + framed)

    def end_stream(self) -> None:
        """End a stream as complete."""
        self._write(self._take_unsent() + (self._http.send(h11.EndOfMessage()) or b''))

    @property
    def may_continue(self) -> bool:
        """Tell whether another request may follow on this connection."""
        return (
            not self._is_closed
            and not self._closes_after
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    def abort(self) -> None:
        """End the connection in a way that no answer on it can look complete."""
        self.unwatch()
        self._is_closed = True
        reset(self._sock)

    def close(self) -> None:
        """End the connection after its last answer.

        Unread bytes would turn the close into a reset, which can overtake the answer; so the
        writing side ends first and what still comes is read for a moment.
        """
        self.unwatch()
        if self._is_closed:
            return
        self._is_closed = True
        try:
            self._sock.shutdown(1)
            self._sock.settimeout(0.2)
            while self._sock.recv(READ_BYTES):
                pass
        except OSError:
            # The caller closed first or is silent; either way it has what there was.
            pass
        self._sock.close()

    def close_now(self) -> None:
        """Close without waiting, for an idle connection."""
        self._is_closed = True
        self._sock.close()

    def _take_unsent(self) -> bytes:
        unsent, self._unsent = self._unsent, b''
        return unsent

    def _head(self, status: int, headers: Headers) -> bytes:
        if self._closes_after:
            headers = [*headers, (b'Connection', b'close')]
        try:
            reason = HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b'Status'
        data = self._http.send(h11.Response(status_code=status, headers=headers, reason=reason))
        return data or b''

    def _read_raw_head(self, limits: RouteLimits) -> bytes | None:
        data = self._ahead
        self._ahead = b''
        until_ms = self._clock.now_ms() + limits.idle_within_ms
        while True:
            if self.is_idle and data.lstrip(b'\r\n'):
                self.is_idle = False
                until_ms = self._clock.now_ms() + limits.head_within_ms
            data = data.lstrip(b'\r\n') if self.is_idle or data[:1] in b'\r\n' else data
            end = data.find(HEAD_END)
            if end >= 0:
                end += len(HEAD_END)
                if end > limits.head_bytes:
                    raise BadRequestHeadError('head too large', 431)
                self._ahead = data[end:]
                return data[:end]
            if len(data) > limits.head_bytes:
                raise BadRequestHeadError('head too large', 431)
            if b'\n\n' in data:
                raise BadRequestHeadError('line feeds alone')
            more = self._receive(until_ms)
            if more is None:
                if self.is_idle:
                    return None
                raise BadRequestHeadError('head too slow', 408)
            if not more:
                return None
            data += more

    def _read_body(self, limits: RouteLimits) -> bytes:
        self._http.receive_data(self._ahead) if self._ahead else None
        self._ahead = b''
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b'Continue')
            self._write(self._http.send(go_on) or b'')
        parts: list[bytes] = []
        size = 0
        until_ms = self._clock.now_ms() + limits.idle_within_ms
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                more = self._receive(until_ms)
                if more is None:
                    raise BadRequestHeadError('body too slow', 408)
                if not more:
                    raise CallerGoneError
                self._http.receive_data(more)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_bytes:
                    raise BadRequestHeadError('body too large', 413)
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            else:
                raise CallerGoneError

    def _receive(self, until_ms: float) -> bytes | None:
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            return None
        try:
            self._sock.settimeout(left_ms / 1e3)
            data: bytes = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b''
        return data

    def _watch_close(self, worker: gevent.Greenlet) -> None:
        """Wait for the caller's close while its request is worked on.

        Without it a server works on for a caller who left, and others wait for its place.
        """
        while len(self._ahead) < AHEAD_BYTES:
            try:
                wait_read(self._sock.fileno())
                data = self._sock.recv(READ_BYTES)
            except (BlockingIOError, TimeoutError):
                continue
            except OSError:
                data = b''
            if not data:
                worker.kill(CallerGoneError, block=False)
                return
            self._ahead += data

    def _write(self, data: bytes) -> None:
        if not data:
            return
        try:
            self._sock.settimeout(WRITE_STALL_S)
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError from error
