"""Stand-in for a backend server of the platform, whose answers a test controls."""

from __future__ import annotations

import time
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import gevent
import gevent.event
import h11
import msgspec
from gevent.server import StreamServer

from citrondyke.gateway.sockets import reset
from citrondyke.platform.dialect import (
    ATTEMPT_HEADER,
    EXPECT_SERVER_HEADER,
    EXPECT_WEIGHTS_HEADER,
    LAST_EVENT_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    PREFIX_HEADER,
    SEAL_HEADER,
    SERVER_HEADER,
)
from citrondyke.standin.dropped_packets import drop_received
from citrondyke.standin.endless_reply import EndlessPart, endless_reply
from citrondyke.standin.stream_faults import StreamFault, StreamFaults, faulty_response
from citrondyke.util.http_status import is_successful

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

__all__ = ('AnswerMode', 'PlatformServer', 'ServerRun', 'event_text')

READ_BYTES = 65_536
#: How long a vanished server keeps its connection.
VANISHED_S = 30.0


def event_text(number: int, software_version: str = '') -> str:
    """Return the text of an event; servers that state a version add it."""
    return f'text {number} {software_version}'.rstrip()


def _ignore_crash() -> None:
    """Do nothing; the default of ``on_crash``."""


class AnswerMode(Enum):
    """How a request is answered."""

    SERVE = 'serve'
    REFUSE = 'refuse'
    FAIL = 'fail'
    IMPOSSIBLE = 'impossible'
    #: Run the request and answer with a status that none may be.
    NO_STATUS = 'no_status'
    #: Run the request and answer with a redirect.
    MOVED = 'moved'
    #: End a stream in the middle of an event, and keep the connection.
    END_IN_EVENT = 'end_in_event'
    #: Run the request, then reset the connection without an answer.
    CUT = 'cut'
    #: Send a part of an answer without a length before the body is read, and reset the connection.
    EARLY_RESET = 'early_reset'
    #: The same, and close it.
    EARLY_CLOSE = 'early_close'
    #: Run the request and send nothing.
    SILENT = 'silent'
    #: Send the answer and a second one after it.
    EXTRA = 'extra'
    #: Send an answer with the id of another request.
    WRONG_ID = 'wrong_id'
    #: Send a success without the seal header of the server.
    UNSIGNED = 'unsigned'
    #: Send an answer without a length, which ends when the connection is closed.
    UNFRAMED = 'unframed'
    #: Send an answer without a length and reset the connection before its end.
    UNFRAMED_CUT = 'unframed_cut'
    #: Close the connection of such a stream in the middle of an event.
    UNFRAMED_CUT_IN_EVENT = 'unframed_cut_in_event'
    #: Close the connection of such a stream before its first event.
    UNFRAMED_EMPTY = 'unframed_empty'
    #: Send such an answer, or a stream, as a failure.
    UNFRAMED_FAIL = 'unframed_fail'
    #: Send a part of such a stream; then neither send nor acknowledge anything.
    UNFRAMED_THEN_VANISH = 'unframed_then_vanish'
    #: Send a whole answer without a length, and crash.
    UNFRAMED_THEN_CRASH = 'unframed_then_crash'
    #: Reset the connection of a stream in the middle of an event.
    CUT_IN_EVENT = 'cut_in_event'
    #: Stop sending after some events of a stream, with the connection open.
    STALL = 'stall'
    #: Send a comment after each event of a stream.
    COMMENTS = 'comments'
    #: The same, and reset the connection after one of the comments.
    COMMENT_THEN_CUT = 'comment_then_cut'
    #: Send the part of ``endless_part`` without end.
    ENDLESS = 'endless'
    #: Pause a stream after some events until ``resume_streams`` is set.
    HOLD = 'hold'
    #: Send an event whose id is ``odd_event_id`` after some events of a stream.
    ODD_EVENT_ID = 'odd_event_id'
    #: Close the connection of a stream between two events.
    CUT_BETWEEN_EVENTS = 'cut_between_events'
    #: Send a whole stream, and close its connection without the last chunk.
    LAST_CHUNK_MISSING = 'last_chunk_missing'
    #: Send a stream without an event: only the last chunk.
    RESUME_EMPTY_CHUNKED = 'resume_empty_chunked'
    #: The same, with ``Content-Length: 0``.
    RESUME_EMPTY_LENGTH = 'resume_empty_length'
    #: The same, as a 204.
    RESUME_EMPTY_204 = 'resume_empty_204'
    #: The same, as a 205.
    RESUME_EMPTY_205 = 'resume_empty_205'
    #: Send a block of comments, and the last chunk.
    RESUME_EMPTY_COMMENT = 'resume_empty_comment'
    #: Send a block of comments without a length, and close the connection.
    RESUME_EMPTY_UNFRAMED = 'resume_empty_unframed'
    #: Send a whole stream from its first event, whatever it is to go on after.
    RESUME_ANEW = 'resume_anew'
    #: Send an event without an id alone, and the last chunk.
    EVENT_WITHOUT_ID = 'event_without_id'
    #: Send two events, one with an id alone, and the last chunk.
    EVENT_WITHOUT_DATA = 'event_without_data'
    #: Close the connection of a stream without a length between two events.
    UNFRAMED_BETWEEN_EVENTS = 'unframed_between_events'
    #: Answer a stream with a success that is no stream.
    OTHER_CONTENT = 'other_content'


EARLY_MODES = (AnswerMode.EARLY_RESET, AnswerMode.EARLY_CLOSE)
#: Modes of responses that are no answer to their request.
NO_ANSWERS = (AnswerMode.WRONG_ID, AnswerMode.UNSIGNED, AnswerMode.NO_STATUS)
UNFRAMED_MODES = (
    AnswerMode.UNFRAMED,
    AnswerMode.UNFRAMED_CUT,
    AnswerMode.UNFRAMED_CUT_IN_EVENT,
    AnswerMode.UNFRAMED_EMPTY,
    AnswerMode.UNFRAMED_FAIL,
    AnswerMode.UNFRAMED_THEN_VANISH,
    AnswerMode.UNFRAMED_THEN_CRASH,
)
FAILURES = {
    AnswerMode.FAIL: (500, b'failed'),
    AnswerMode.IMPOSSIBLE: (422, b''),
    AnswerMode.MOVED: (302, b''),
    AnswerMode.OTHER_CONTENT: (200, b'{}'),
}


class _ShortStream(msgspec.Struct, frozen=True):
    """A stream that ends early, or whose end is not stated."""

    status: bytes = b'200 OK'
    framing: bytes = b'Transfer-Encoding: chunked\r\n'
    #: Events that are sent; ``None`` for all.
    events_count: int | None = 0
    tail: bytes = b'0\r\n\r\n'
    begins_anew: bool = False

    @property
    def is_chunked(self) -> bool:
        return b'chunked' in self.framing


SHORT_STREAMS = {
    AnswerMode.CUT_BETWEEN_EVENTS: _ShortStream(events_count=2, tail=b''),
    AnswerMode.LAST_CHUNK_MISSING: _ShortStream(events_count=None, tail=b''),
    AnswerMode.RESUME_EMPTY_CHUNKED: _ShortStream(),
    AnswerMode.RESUME_EMPTY_LENGTH: _ShortStream(framing=b'Content-Length: 0\r\n', tail=b''),
    AnswerMode.RESUME_EMPTY_204: _ShortStream(b'204 No Content', framing=b'', tail=b''),
    AnswerMode.RESUME_EMPTY_205: _ShortStream(b'205 Reset', b'Content-Length: 0\r\n', tail=b''),
    AnswerMode.RESUME_EMPTY_COMMENT: _ShortStream(tail=b'8\r\n: ping\n\n\r\n0\r\n\r\n'),
    AnswerMode.RESUME_ANEW: _ShortStream(events_count=None, begins_anew=True),
    AnswerMode.EVENT_WITHOUT_ID: _ShortStream(tail=b'b\r\ndata: odd\n\n\r\n0\r\n\r\n'),
    AnswerMode.EVENT_WITHOUT_DATA: _ShortStream(
        events_count=2, tail=b'7\r\nid: 3\n\n\r\n0\r\n\r\n'
    ),
    AnswerMode.RESUME_EMPTY_UNFRAMED: _ShortStream(framing=b'', tail=b': ping\n\n'),
    AnswerMode.UNFRAMED_BETWEEN_EVENTS: _ShortStream(framing=b'', events_count=2, tail=b''),
}


class ServerRun(msgspec.Struct):
    """A request that the server ran."""

    request_id: str
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    #: Whether the caller closed the connection before the end of the answer.
    is_aborted: bool = False
    answer_mode: AnswerMode = AnswerMode.SERVE
    stream_fault: StreamFault | None = None
    #: Start of the run, by the monotonic clock.
    began_s: float = 0.0
    #: Port of the caller, which identifies the connection.
    connection: int = 0

    @property
    def shared_parts(self) -> set[str]:
        """Ids of the parts of the prompt; the last one belongs to the request itself."""
        entries = self.headers.get(PREFIX_HEADER, b'').decode().split(',')[:-1]
        return {entry.partition(':')[0] for entry in entries}

    @property
    def first_event_number(self) -> int:
        """Number of the event that the run begins with."""
        return int(self.headers.get(LAST_EVENT_HEADER, b'0')) + 1


class PlatformServer:
    """Runs requests and records them; a stream has ``events_count`` events with ids from 1."""

    def __init__(self, server_id: str, events_count: int = 6, software_version: str = '') -> None:
        """Start listening on a free loopback port."""
        self.software_version = software_version
        self.server_id = server_id
        self.events_count = events_count
        self.answer_modes: deque[AnswerMode] = deque()
        #: Those of requests that resume a stream; ``answer_modes`` if it is empty.
        self.resume_modes: deque[AnswerMode] = deque()
        #: Whether a copy of each rejection or failure precedes the next answer on its connection.
        self.sends_late_copies = False
        self.late_copies_count = 0
        self._late_copies: dict[socket.socket, bytes] = {}
        self.endless_part = EndlessPart.EVENT
        #: Pause between two pieces of an endless response.
        self.endless_gap_ms = 1.0
        #: Bytes of endless responses that were sent.
        self.endless_bytes = 0
        #: Version of its weights; requests that expect another one are not run.
        self.weights_version = b'1'
        #: Whether responses to misdirected requests state the id of the server.
        self.states_id = True
        self.runs: list[ServerRun] = []
        self.refused_count = 0
        self.event_gap_ms = 1.0
        self.answer_ms = 0.0
        self.resume_streams = gevent.event.Event()
        self.odd_event_id = b''
        #: Faults of streams that no answer mode asks for.
        self.stream_faults = StreamFaults()
        #: Further headers of signed answers.
        self.more_headers: list[tuple[bytes, bytes]] = []
        #: Bodies of requests that crash the server when their run starts.
        self.crash_bodies: set[bytes] = set()
        #: Bodies of requests that crash the server when the third event of a stream is due, which
        #: has no length: the connection is closed in order, as the kernel of a process does it.
        self.late_crash_bodies: set[bytes] = set()
        #: Bodies of requests whose connections are reset without a crash of the server.
        self.reset_bodies: set[bytes] = set()
        #: Parts of prompts that crash the server when it begins to write an answer.
        self.crash_parts: set[str] = set()
        self.has_crashed = False
        #: Called after a crash.
        self.on_crash: Callable[[], object] = _ignore_crash
        self._open: set[socket.socket] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._on_connection)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def crash(self) -> None:
        """Simulate a crash: reset all connections and refuse new ones."""
        self.has_crashed = True
        self._server.stop(timeout=0)
        for sock in list(self._open):
            reset(sock)
        self.on_crash()

    def _on_connection(self, sock: socket.socket, _: object) -> None:
        http = h11.Connection(h11.SERVER)
        self._open.add(sock)
        try:
            while self._one_request(http, sock):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The caller closed the connection; the requests that ran are in ``runs``.
            return
        finally:
            self._open.discard(sock)
            self._late_copies.pop(sock, None)
            sock.close()

    def _one_request(self, http: h11.Connection, sock: socket.socket) -> bool:
        request: h11.Request | None = None
        body = b''
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = sock.recv(READ_BYTES)
                if not data and request is None:
                    return False
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
                if self.answer_modes and self.answer_modes[0] in EARLY_MODES:
                    return self._answer_early(sock, request)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return self._answer(http, sock, request, body)
            else:
                return False

    def _next_mode(self, body: bytes, *, is_resumed: bool) -> AnswerMode:
        if body in self.late_crash_bodies:
            return AnswerMode.UNFRAMED_THEN_CRASH
        modes = (is_resumed and self.resume_modes) or self.answer_modes
        return modes.popleft() if modes else AnswerMode.SERVE

    def _answer(
        self, http: h11.Connection, sock: socket.socket, request: h11.Request, body: bytes
    ) -> bool:
        self._send_late_copy(sock)
        headers = {bytes(name): bytes(value) for name, value in request.headers}
        answer_mode = self._next_mode(body, is_resumed=LAST_EVENT_HEADER in headers)
        unsigned = [(ATTEMPT_HEADER, headers.get(ATTEMPT_HEADER, b'')), (LOAD_HEADER, b'1,0,8')]
        if self._is_misdirected(headers):
            self.refused_count += 1
            own_id = [(SERVER_HEADER, self.server_id.encode())] if self.states_id else []
            return self._send_complete(http, sock, 421, b'', [*unsigned, *own_id])
        if answer_mode is AnswerMode.REFUSE:
            self.refused_count += 1
            return self._send_complete(http, sock, 503, b'', [*unsigned, (NOT_RUN_HEADER, b'1')])
        run = ServerRun(
            headers.get(ATTEMPT_HEADER, b'').decode(),
            bytes(request.method),
            bytes(request.target),
            headers,
            body,
            answer_mode=answer_mode,
            began_s=time.monotonic(),
            connection=sock.getpeername()[1],
        )
        self.runs.append(run)
        gevent.sleep(self.answer_ms / 1e3)
        is_stream = b'stream' in run.target
        if body in self.crash_bodies or (not is_stream and self._has_crash_part(run)):
            self.crash()
            return False
        signed = [*unsigned, (SEAL_HEADER, f'seal-{self.server_id}-{len(self.runs)}'.encode())]
        signed += self.more_headers
        if answer_mode is AnswerMode.CUT or body in self.reset_bodies:
            reset(sock)
            return False
        if answer_mode in (AnswerMode.SILENT, AnswerMode.ENDLESS):
            return self._never_end(sock, run, signed)
        if answer_mode in FAILURES:
            return self._send_complete(http, sock, *FAILURES[answer_mode], signed)
        if answer_mode in NO_ANSWERS:
            return self._send_no_answer(http, sock, run, signed)
        if answer_mode in SHORT_STREAMS:
            return self._send_short_stream(sock, run, signed)
        if answer_mode in UNFRAMED_MODES:
            pieces = [b'unframed']
            if is_stream:
                signed.append((b'content-type', b'text/event-stream'))
                pieces = self._unframed_events(run, answer_mode)
            return self._send_unframed(sock, signed, pieces, answer_mode)
        if is_stream:
            return self._send_stream(http, sock, signed, run, answer_mode)
        keeps_connection = self._send_complete(http, sock, 200, b'answer to ' + body, signed)
        if answer_mode is AnswerMode.EXTRA:
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra')
        return keeps_connection

    def _send_no_answer(
        self,
        http: h11.Connection,
        sock: socket.socket,
        run: ServerRun,
        signed: list[tuple[bytes, bytes]],
    ) -> bool:
        if run.answer_mode is AnswerMode.NO_STATUS:
            lines = b''.join(b'%b: %b\r\n' % pair for pair in signed)
            sock.sendall(b'HTTP/1.1 000 None\r\n' + lines + b'Content-Length: 4\r\n\r\nnone')
            return self._wait_for_close(sock, run)
        if run.answer_mode is AnswerMode.WRONG_ID:
            headers = [
                (ATTEMPT_HEADER, b'other'),
                *(pair for pair in signed if pair[0] == SEAL_HEADER),
            ]
            return self._send_complete(http, sock, 200, b'other', headers)
        unsigned = [pair for pair in signed if pair[0] != SEAL_HEADER]
        return self._send_complete(http, sock, 200, b'unsigned', unsigned)

    def _answer_early(self, sock: socket.socket, request: h11.Request) -> bool:
        answer_mode = self.answer_modes.popleft()
        headers = {bytes(name): bytes(value) for name, value in request.headers}
        lines = b'%b: %b\r\n%b: seal-early\r\n' % (
            ATTEMPT_HEADER,
            headers.get(ATTEMPT_HEADER, b''),
            SEAL_HEADER,
        )
        sock.sendall(b'HTTP/1.1 200 OK\r\nConnection: close\r\n' + lines + b'\r\npart')
        gevent.sleep(0.01)
        if answer_mode is AnswerMode.EARLY_RESET:
            reset(sock)
        return False

    def _is_misdirected(self, headers: dict[bytes, bytes]) -> bool:
        server_id = self.server_id.encode()
        return (
            headers.get(EXPECT_SERVER_HEADER, server_id) != server_id
            or headers.get(EXPECT_WEIGHTS_HEADER, self.weights_version) != self.weights_version
        )

    def _has_crash_part(self, run: ServerRun) -> bool:
        return not self.crash_parts.isdisjoint(run.shared_parts)

    def _send_stream(
        self,
        http: h11.Connection,
        sock: socket.socket,
        headers: list[tuple[bytes, bytes]],
        run: ServerRun,
        answer_mode: AnswerMode,
    ) -> bool:
        first = run.first_event_number
        if answer_mode is AnswerMode.SERVE and not self._has_crash_part(run):
            run.stream_fault = self.stream_faults.choose(run.body, is_first=first == 1)
        if run.stream_fault is not None:
            return self._send_faulty_stream(sock, headers, run.stream_fault, first)
        head = [*headers, (b'content-type', b'text/event-stream')]
        sock.sendall(http.send(h11.Response(status_code=200, headers=head)) or b'')
        for number in range(first, self.events_count + 1):
            data = self._event(number)
            if answer_mode is AnswerMode.END_IN_EVENT and number == first + 2:
                sock.sendall(http.send(h11.Data(data=data[:-5])) or b'')
                break
            if answer_mode in (AnswerMode.COMMENTS, AnswerMode.COMMENT_THEN_CUT):
                data += b': ping\n\n'
            if answer_mode is AnswerMode.CUT_IN_EVENT and number == first + 2:
                sock.sendall(http.send(h11.Data(data=data[:-5])) or b'')
                reset(sock)
                return False
            if answer_mode is AnswerMode.ODD_EVENT_ID and number == first + 2:
                data = b'id: %b\ndata: odd\n\n' % self.odd_event_id
            if answer_mode in (AnswerMode.STALL, AnswerMode.HOLD) and number == first + 2:
                if answer_mode is AnswerMode.STALL:
                    return self._wait_for_close(sock, run)
                self.resume_streams.wait()
            try:
                sock.sendall(http.send(h11.Data(data=data)) or b'')
            except OSError:
                run.is_aborted = True
                raise
            if answer_mode is AnswerMode.COMMENT_THEN_CUT and number == first + 2:
                reset(sock)
                return False
            if self._has_crash_part(run):
                self.crash()
                return False
            gevent.sleep(self.event_gap_ms / 1e3)
        sock.sendall(http.send(h11.EndOfMessage()) or b'')
        return True

    def _send_faulty_stream(
        self,
        sock: socket.socket,
        headers: list[tuple[bytes, bytes]],
        fault: StreamFault,
        first: int,
    ) -> bool:
        events = [self._event(number) for number in range(first, self.events_count + 1)]
        pieces, is_reset = faulty_response(fault, headers, events)
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(self.event_gap_ms / 1e3)
        if is_reset:
            reset(sock)
        return False

    def _send_complete(
        self,
        http: h11.Connection,
        sock: socket.socket,
        status: int,
        body: bytes,
        headers: list[tuple[bytes, bytes]],
    ) -> bool:
        head = [*headers, (b'content-length', str(len(body)).encode())]
        data = http.send(h11.Response(status_code=status, headers=head)) or b''
        if body:
            data += http.send(h11.Data(data=body)) or b''
        sock.sendall(data + (http.send(h11.EndOfMessage()) or b''))
        if not is_successful(status) and self.sends_late_copies:
            self._late_copies[sock] = data
        return True

    def _send_late_copy(self, sock: socket.socket) -> None:
        copy = self._late_copies.pop(sock, b'')
        if copy:
            self.late_copies_count += 1
            sock.sendall(copy)

    def _never_end(
        self, sock: socket.socket, run: ServerRun, headers: list[tuple[bytes, bytes]]
    ) -> bool:
        if run.answer_mode is AnswerMode.SILENT:
            return self._wait_for_close(sock, run)
        for piece in endless_reply(self.endless_part, headers):
            try:
                sock.sendall(piece)
            except OSError:
                run.is_aborted = True
                raise
            self.endless_bytes += len(piece)
            gevent.sleep(self.endless_gap_ms / 1e3)
        return False

    def _unframed_events(self, run: ServerRun, answer_mode: AnswerMode) -> list[bytes]:
        if answer_mode is AnswerMode.UNFRAMED_EMPTY:
            return []
        first = run.first_event_number
        events = [self._event(number) for number in range(first, self.events_count + 1)]
        if run.body in self.late_crash_bodies:
            events = events[: max(0, 3 - first)]
        elif answer_mode is not AnswerMode.UNFRAMED:
            events = events[:2]
        if events and answer_mode is AnswerMode.UNFRAMED_CUT_IN_EVENT:
            events[-1] = events[-1][:-5]
        return events

    def _send_short_stream(
        self, sock: socket.socket, run: ServerRun, headers: list[tuple[bytes, bytes]]
    ) -> bool:
        short = SHORT_STREAMS[run.answer_mode]
        first = 1 if short.begins_anew else run.first_event_number
        events = [self._event(number) for number in range(first, self.events_count + 1)]
        lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
        lines += b'Content-Type: text/event-stream\r\nConnection: close\r\n' + short.framing
        sock.sendall(b'HTTP/1.1 %b\r\n%b\r\n' % (short.status, lines))
        for event in events[: short.events_count]:
            chunk = b'%x\r\n%b\r\n' % (len(event), event)
            sock.sendall(chunk if short.is_chunked else event)
            gevent.sleep(self.event_gap_ms / 1e3)
        sock.sendall(short.tail)
        return False

    def _event(self, number: int) -> bytes:
        text = event_text(number, self.software_version)
        return f'id: {number}\ndata: {text}\n\n'.encode()

    def _send_unframed(
        self,
        sock: socket.socket,
        headers: list[tuple[bytes, bytes]],
        pieces: list[bytes],
        answer_mode: AnswerMode,
    ) -> bool:
        lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
        status = b'500 Failed' if answer_mode is AnswerMode.UNFRAMED_FAIL else b'200 OK'
        sock.sendall(b'HTTP/1.1 %b\r\nConnection: close\r\n%b\r\n' % (status, lines))
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(0.01)
        if answer_mode is AnswerMode.UNFRAMED_THEN_VANISH:
            drop_received(sock)
            gevent.sleep(VANISHED_S)
        if answer_mode is AnswerMode.UNFRAMED_CUT:
            reset(sock)
        if answer_mode is AnswerMode.UNFRAMED_THEN_CRASH:
            self._open.discard(sock)
            self.crash()
        return False

    @staticmethod
    def _wait_for_close(sock: socket.socket, run: ServerRun) -> bool:
        sock.settimeout(30.0)
        if not sock.recv(1):
            run.is_aborted = True
        return False
