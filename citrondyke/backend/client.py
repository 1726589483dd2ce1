"""Sends requests to backend servers and classifies their results."""

from __future__ import annotations

import socket
from collections.abc import Generator
from http.client import HTTPException
from typing import TYPE_CHECKING, Any

import logbook
import msgspec
from gevent import get_hub
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from citrondyke.backend.request_body import engine_body
from citrondyke.backend.sse import DONE_DATA, SseSplitter, event_data
from citrondyke.decisions.core.ops import ServerLoad
from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.util.decoding import decode_json
from citrondyke.util.http_status import is_final, is_successful
from citrondyke.util.line_limiter import LineLimiter
from citrondyke.util.media_type import is_event_stream, is_json
from citrondyke.util.numbers import parse_count
from citrondyke.util.open_socket import open_socket
from citrondyke.util.paced_socket import PacedSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from urllib3.response import HTTPResponse

    from citrondyke.backend.connections import IdleConnections
    from citrondyke.decisions.core.server_call import ServerCall
    from citrondyke.ids import ServerId
    from citrondyke.util.clock import Clock

__all__ = ('BackendClient',)

log = logbook.Logger(__name__)

CONNECT_TIMEOUT_MS = 1000.0
READ_BYTES = 65_536
#: Limits on bodies that are read for their connection's sake, or hold a few numbers.
REJECTION_LIMIT_BYTES = 65_536
LOAD_LIMIT_BYTES = 65_536
#: Items that wait for an unreachable server are tried again 20 times a second each.
FAILURE_LINES_PER_S = 100
#: Longest time until a retry that a server may state, in s; any other is ignored.
RETRY_LIMIT_S = 86_400
REJECTED_STATUSES = frozenset({429, 503})
DROPPED_HEADERS = frozenset(
    {'connection', 'content-length', 'host', 'transfer-encoding', 'authorization', 'expect'}
)


class BackendClient:
    """Sends requests over keep-alive connections; never retries a request."""

    def __init__(
        self,
        connections: IdleConnections,
        clock: Clock,
        address_of: Callable[[ServerId], tuple[str, int] | None],
        answer_limit_bytes: int,
    ) -> None:
        """Initialize the client.

        :param address_of: returns a server's address; ``None`` if the server is not listed.
        :param answer_limit_bytes: size from which a response that is not streamed is a failure.
        """
        self._connections = connections
        self._clock = clock
        self._address_of = address_of
        self._answer_limit_bytes = answer_limit_bytes
        self._failure_lines = LineLimiter(clock, FAILURE_LINES_PER_S)

    def call(self, call: ServerCall) -> ServerReply:
        """Send a request and return its whole response."""
        events: list[bytes] = []
        attempt = self.stream(call)
        while True:
            try:
                events.append(event_data(next(attempt)))
            except StopIteration as stop:
                reply: ServerReply = stop.value
                return msgspec.structs.replace(reply, frames=tuple(events))

    def stream(self, call: ServerCall) -> Generator[bytes, None, ServerReply]:
        """Send a request and yield the events of a streamed response as they arrive.

        The returned reply has the body of a response that is not streamed. Closing the generator
        aborts the request.
        """
        address = self._address_of(call.server_id)
        if address is None:
            return ServerReply(kind=ReplyKind.UNREACHABLE)
        connection = (
            HTTPConnection(*address)
            if call.needs_new_connection
            else self._connections.acquire(call.server_id, *address)
        )
        attempt = _Attempt(self._clock, call, connection)
        call.cancel.subscribe(attempt.abort)
        is_complete = False
        try:
            reply = attempt.send()
            if reply is None:
                reply = yield from attempt.read(self._answer_limit_bytes)
            is_complete = reply.kind in (ReplyKind.COMPLETE, ReplyKind.REFUSED)
            if reply.kind is not ReplyKind.COMPLETE:
                omitted_count = self._failure_lines.admit()
                if omitted_count is not None:
                    attempt.log_failure(reply, omitted_count)
            return reply
        finally:
            call.cancel.unsubscribe(attempt.abort)
            attempt.close()
            if is_complete and attempt.is_reusable:
                self._connections.release(call.server_id, attempt.connection)
            else:
                # The response may still hold the socket open.
                attempt.abort()
                attempt.connection.close()

    def poll_load(self, server_id: ServerId, until_ms: float) -> ServerLoad | None:
        """Query the load of a server; return ``None`` on failure."""
        address = self._address_of(server_id)
        if address is None:
            return None
        connection = self._connections.acquire(server_id, *address)
        timeout_s = max(0.01, (until_ms - self._clock.now_ms()) / 1e3)
        connection.timeout = timeout_s
        try:
            if connection.sock is None:
                connection.sock = _open(self._clock, connection, timeout_s)
            connection.sock.settimeout(timeout_s)
            _set_deadline(connection, until_ms)
            connection.request('GET', '/load', preload_content=False)
            response = connection.getresponse()
            load = decode_json(response.read(LOAD_LIMIT_BYTES), ServerLoad)
        except (HTTPError, HTTPException, OSError, UnreadableBytesError):
            connection.close()
            return None
        self._connections.release(server_id, connection)
        return load


class _Attempt:
    """A request that is sent once on a connection."""

    def __init__(self, clock: Clock, call: ServerCall, connection: HTTPConnection) -> None:
        self.connection = connection
        self.is_reusable = False
        self._clock = clock
        self._call = call
        self._started_ms = clock.now_ms()
        self._first_data_ms: float | None = None
        self._events_count = 0
        self._timer: Any = None
        self._is_aborted = False
        #: Kept here, as the connection gives it away with a response that ends with it.
        self._sock: Any = None
        self._is_reused = connection.sock is not None
        self._step = 'connect'
        self._error = ''
        #: When the deadline timer fired, in milliseconds after the deadline.
        self._timer_late_ms: float | None = None

    def log_failure(self, reply: ServerReply, omitted_count: int) -> None:
        """Log why the attempt brought no complete response, with the times it was judged by."""
        now_ms = self._clock.now_ms()
        log.info(
            'attempt failed',
            extra={
                'request_id': self._call.request_id,
                'server_id': self._call.server_id,
                'kind': reply.kind.value,
                'is_reused': self._is_reused,
                'step': self._step,
                'error': self._error,
                'elapsed_ms': round(now_ms - self._started_ms, 2),
                'remaining_ms': round(self._call.deadline_ms - now_ms, 2),
                'timer_late_ms': self._timer_late_ms,
                'omitted_count': omitted_count,
            },
        )

    def close(self) -> None:
        """Stop the deadline timer."""
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()

    def expire(self) -> None:
        """Abort the attempt at its deadline."""
        self._timer_late_ms = round(self._clock.now_ms() - self._call.deadline_ms, 2)
        self.abort()

    def abort(self) -> None:
        """Shut the connection down, so that a blocked read ends."""
        if self._sock is None:
            return
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def send(self) -> ServerReply | None:
        """Connect and send the request; return a reply only on failure."""
        if self._call.cancel.is_fired:
            return ServerReply(kind=ReplyKind.CANCELLED)
        if self.connection.sock is None:
            remaining_s = self._remaining_s()
            try:
                self.connection.sock = _open(
                    self._clock, self.connection, min(CONNECT_TIMEOUT_MS / 1e3, remaining_s)
                )
            except OSError as error:
                self._error = type(error).__name__
                # No byte of the request has been sent.
                is_expired = (
                    isinstance(error, TimeoutError) and remaining_s < CONNECT_TIMEOUT_MS / 1e3
                )
                return ServerReply(kind=ReplyKind.EXPIRED if is_expired else ReplyKind.UNREACHABLE)
        self._sock = self.connection.sock
        # One timer covers the deadline of the whole attempt. A socket timeout would start a timer
        # for each read and would be reset when the response head is read.
        # With a lower priority a late event loop reads the responses that have arrived first.
        self._timer = get_hub().loop.timer(self._remaining_s(), priority=-1)
        # Without the update the time counts from the start of the loop's iteration, and the timer
        # fires early by the time that other greenlets have run since then.
        self._timer.start(self.expire, update=True)
        self.connection.timeout = None
        self.connection.sock.settimeout(None)
        _set_deadline(self.connection, self._call.deadline_ms)
        self._step = 'send'
        try:
            self.connection.request(
                self._call.method,
                self._call.path,
                body=engine_body(self._call),
                headers=self._headers(),
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            self._error = type(error).__name__
            # A server may close an idle connection while the request is in transit. It may have
            # received the whole request, so the request cannot be reported as not run.
            return self._failure_reply()
        return None

    def read(self, limit_bytes: int) -> Generator[bytes, None, ServerReply]:
        """Read the response, and yield its events if it is streamed."""
        self._step = 'read'
        try:
            response = self.connection.getresponse()
            status = response.status
            if self._sock.has_ended:
                # The library takes the end of the connection for the end of the head.
                self._error = 'closed inside the head'
                return self._failure_reply()
            if not _has_one_frame(response):
                # Readers that go by different lines of the head find different ends.
                self._error = 'framing of the response'
                return self._failure_reply()
            if not is_final(status):
                # After an interim response the final one would be taken for the next request's.
                self._error = f'status {status}'
                return self._failure_reply()
            content_type = response.headers.get('Content-Type', '')
            if self._call.refuses_by_status and status in REJECTED_STATUSES:
                return self._rejection_reply(response)
            if self._call.is_streamed and is_event_stream(content_type):
                return (yield from self._read_events(response, content_type))
            return self._read_whole(response, content_type, limit_bytes)
        except (HTTPError, HTTPException, OSError) as error:
            self._error = type(error).__name__
            return self._failure_reply()

    def _read_events(
        self, response: HTTPResponse, content_type: str
    ) -> Generator[bytes, None, ServerReply]:
        splitter = SseSplitter()
        on_frame = self._call.on_frame
        is_done = False
        for data in response.stream(READ_BYTES):
            for event in splitter.feed(data):
                content = event_data(event)
                if not content:
                    # A comment. Counted as an event, the next run would leave a true one out.
                    continue
                if is_done:
                    # Nothing tells which of the two is wrong: the end, or what follows it.
                    self._error = 'event after the final one'
                    return self._failure_reply()
                if content == DONE_DATA:
                    is_done = True
                    continue
                now_ms = self._clock.now_ms()
                if self._first_data_ms is None:
                    self._first_data_ms = now_ms - self._started_ms
                if on_frame is not None:
                    on_frame(now_ms)
                self._events_count += 1
                yield event
            if splitter.is_oversized:
                self._error = 'event or stream too large'
                return self._failure_reply()
        if not is_done:
            # A stream that ends without the final event is truncated, even if the connection was
            # closed properly.
            return self._failure_reply()
        self.is_reusable = _is_keep_alive(response)
        return self._reply(ReplyKind.COMPLETE, response.status, content_type)

    def _read_whole(
        self, response: HTTPResponse, content_type: str, limit_bytes: int
    ) -> ServerReply:
        ends_with_connection = response.length_remaining is None and not response.chunked
        body = response.read(limit_bytes)
        if response.length_remaining:
            # The library returns the part that came.
            self._error = f'{response.length_remaining} bytes are missing'
            return self._failure_reply()
        # A connection that this side has shut down looks as if the server had closed it in order.
        if len(body) >= limit_bytes or (ends_with_connection and self._is_aborted):
            return self._failure_reply()
        is_success = is_successful(response.status)
        if ends_with_connection and is_success and _is_cut_json(content_type, body):
            self._error = 'JSON whose end is missing'
            return self._failure_reply()
        self._first_data_ms = self._clock.now_ms() - self._started_ms
        self.is_reusable = _is_keep_alive(response)
        reply = self._reply(ReplyKind.COMPLETE, response.status, content_type, body)
        return msgspec.structs.replace(reply, ends_with_connection=ends_with_connection)

    def _rejection_reply(self, response: HTTPResponse) -> ServerReply:
        retry_after = response.headers.get('Retry-After', '')
        body = response.read(REJECTION_LIMIT_BYTES)
        self.is_reusable = _is_keep_alive(response) and len(body) < REJECTION_LIMIT_BYTES
        retry_in_s = parse_count(retry_after, RETRY_LIMIT_S)
        retry_in_ms = None if retry_in_s is None else retry_in_s * 1e3
        return ServerReply(kind=ReplyKind.REFUSED, status=response.status, retry_in_ms=retry_in_ms)

    def _failure_reply(self) -> ServerReply:
        if self._call.cancel.is_fired:
            return self._reply(ReplyKind.CANCELLED)
        if self._timer_late_ms is not None or self._clock.now_ms() >= self._call.deadline_ms:
            return self._reply(ReplyKind.LATE)
        return self._reply(ReplyKind.CUT)

    def _reply(
        self, kind: ReplyKind, status: int = 0, content_type: str = '', body: bytes = b''
    ) -> ServerReply:
        return ServerReply(
            kind=kind,
            status=status,
            content_type=content_type,
            body=body,
            frames_count=self._events_count,
            first_frame_ms=self._first_data_ms,
        )

    def _headers(self) -> dict[str, str]:
        headers = {
            name: value for name, value in self._call.headers if name.lower() not in DROPPED_HEADERS
        }
        headers.setdefault('Content-Type', 'application/json')
        headers['X-Request-Id'] = self._call.request_id
        return headers

    def _remaining_s(self) -> float:
        return max(0.001, (self._call.deadline_ms - self._clock.now_ms()) / 1e3)


def _open(clock: Clock, connection: HTTPConnection, timeout_s: float) -> Any:
    """Open the socket of a connection.

    :raises OSError: if the server does not accept it in time.
    """
    return PacedSocket(clock, open_socket(connection.host, connection.port or 0, timeout_s))


def _set_deadline(connection: HTTPConnection, until_ms: float) -> None:
    """Limit the time until which responses are read."""
    sock: Any = connection.sock
    sock.until_ms = until_ms
    sock.time_slice.start()


def _has_one_frame(response: HTTPResponse) -> bool:
    """Return whether the head states one end of the response, or none."""
    encodings = response.headers.getlist('Transfer-Encoding')
    lengths = response.headers.getlist('Content-Length')
    if encodings:
        # The library doesn't find chunks if a space follows.
        return not lengths and [each.lower() for each in encodings] == ['chunked']
    return not lengths or (len(set(lengths)) == 1 and _is_length(lengths[0].strip()))


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _is_keep_alive(response: HTTPResponse) -> bool:
    return response.headers.get('Connection', '').lower() != 'close'


def _is_cut_json(content_type: str, body: bytes) -> bool:
    """Return whether a body is stated to be JSON and isn't, so that its end must be missing."""
    if not is_json(content_type):
        return False
    try:
        decode_json(body, msgspec.Raw)
    except UnreadableBytesError:
        return True
    return False
