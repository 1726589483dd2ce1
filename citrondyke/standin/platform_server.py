"""A stand-in of the platform's backend servers, which answers as a test tells it to."""

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
    LAST_EVENT_HEADER,
    LOAD_HEADER,
    NOT_RUN_HEADER,
    SEAL_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

__all__ = ('AnswerMode', 'PlatformServer', 'ServerRun')

READ_BYTES = 65_536


def _ignore_crash() -> None:
    """Stand where nobody is told."""


class AnswerMode(Enum):
    """How the next request is answered."""

    SERVE = 'serve'
    REFUSE = 'refuse'
    FAIL = 'fail'
    IMPOSSIBLE = 'impossible'
    #: The request is run, and the connection reset without an answer.
    CUT = 'cut'
    #: The request is run and nothing comes.
    SILENT = 'silent'
    #: The answer, and a second one behind it.
    EXTRA = 'extra'
    #: An answer with another request's id.
    WRONG_ID = 'wrong_id'
    #: A success without the server's mark.
    UNSIGNED = 'unsigned'
    #: No length; the end of the connection ends it.
    UNFRAMED = 'unframed'
    #: No length, and a reset in the middle.
    UNFRAMED_CUT = 'unframed_cut'
    #: A stream that breaks off in the middle of an event.
    CUT_IN_EVENT = 'cut_in_event'
    #: A stream that falls silent after some events.
    STALL = 'stall'
    #: A stream whose events wait until the server is told to go on.
    HOLD = 'hold'


class ServerRun(msgspec.Struct):
    """One request that the server ran."""

    request_id: str
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    is_cut: bool = False
    act: AnswerMode = AnswerMode.SERVE
    #: By the steady clock.
    began_s: float = 0.0


class PlatformServer:
    """Runs requests and remembers them; streams have ``events_count`` events of ids from 1."""

    def __init__(self, server_id: str, events_count: int = 6) -> None:
        """Start listening on loopback."""
        self.server_id = server_id
        self.events_count = events_count
        self.answer_modes: deque[AnswerMode] = deque()
        self.runs: list[ServerRun] = []
        self.refused_count = 0
        self.event_gap_ms = 1.0
        self.answer_ms = 0.0
        self.resume_streams = gevent.event.Event()
        #: Bodies of requests under which it ends as it begins to run them.
        self.crash_bodies: set[bytes] = set()
        #: Bodies of requests whose connections it resets; it lives on.
        self.reset_bodies: set[bytes] = set()
        self.has_crashed = False
        #: Called when it has ended.
        self.on_crash: Callable[[], object] = _ignore_crash
        self._open: set[socket.socket] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._on_connection)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop()

    def crash(self) -> None:
        """End as a crash does: every connection is reset, and new ones are refused."""
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
            # The other end closed; what it was sent is in ``runs``.
            return
        finally:
            self._open.discard(sock)
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
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return self._answer(http, sock, request, body)
            else:
                return False

    def _answer(
        self, http: h11.Connection, sock: socket.socket, request: h11.Request, body: bytes
    ) -> bool:
        headers = {bytes(name): bytes(value) for name, value in request.headers}
        answer_mode = self.answer_modes.popleft() if self.answer_modes else AnswerMode.SERVE
        own = [(ATTEMPT_HEADER, headers.get(ATTEMPT_HEADER, b'')), (LOAD_HEADER, b'1,0,8')]
        if headers.get(EXPECT_SERVER_HEADER, self.server_id.encode()) != self.server_id.encode():
            return self._send_complete(http, sock, 421, [*own, (b'instance-id', b'other')], b'')
        if answer_mode is AnswerMode.REFUSE:
            self.refused_count += 1
            return self._send_complete(http, sock, 503, [*own, (NOT_RUN_HEADER, b'1')], b'')
        run = ServerRun(
            headers.get(ATTEMPT_HEADER, b'').decode(),
            bytes(request.method),
            bytes(request.target),
            headers,
            body,
            act=answer_mode,
            began_s=time.monotonic(),
        )
        self.runs.append(run)
        gevent.sleep(self.answer_ms / 1e3)
        if body in self.crash_bodies:
            self.crash()
            return False
        signed = [*own, (SEAL_HEADER, f'seal-{self.server_id}-{len(self.runs)}'.encode())]
        if answer_mode is AnswerMode.CUT or body in self.reset_bodies:
            reset(sock)
            return False
        if answer_mode is AnswerMode.SILENT:
            return self._wait_for_close(sock, run)
        if answer_mode is AnswerMode.FAIL:
            return self._send_complete(http, sock, 500, signed, b'failed')
        if answer_mode is AnswerMode.IMPOSSIBLE:
            return self._send_complete(http, sock, 422, signed, b'')
        if answer_mode is AnswerMode.WRONG_ID:
            return self._send_complete(
                http, sock, 200, [(ATTEMPT_HEADER, b'other'), signed[-1]], b'other'
            )
        if answer_mode is AnswerMode.UNSIGNED:
            return self._send_complete(http, sock, 200, own, b'unsigned')
        if answer_mode in (AnswerMode.UNFRAMED, AnswerMode.UNFRAMED_CUT):
            return self._send_unframed(sock, signed, is_cut=answer_mode is AnswerMode.UNFRAMED_CUT)
        if b'stream' in run.target:
            return self._send_stream(http, sock, signed, run, answer_mode)
        kept = self._send_complete(http, sock, 200, signed, b'answer to ' + body)
        if answer_mode is AnswerMode.EXTRA:
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra')
        return kept

    def _send_stream(
        self,
        http: h11.Connection,
        sock: socket.socket,
        headers: list[tuple[bytes, bytes]],
        run: ServerRun,
        answer_mode: AnswerMode,
    ) -> bool:
        first = int(run.headers.get(LAST_EVENT_HEADER, b'0')) + 1
        head = [*headers, (b'content-type', b'text/event-stream')]
        sock.sendall(http.send(h11.Response(status_code=200, headers=head)) or b'')
        for number in range(first, self.events_count + 1):
            data = b'id: %d\ndata: text %d\n\n' % (number, number)
            if answer_mode is AnswerMode.CUT_IN_EVENT and number == first + 2:
                sock.sendall(http.send(h11.Data(data=data[:-5])) or b'')
                reset(sock)
                return False
            if answer_mode in (AnswerMode.STALL, AnswerMode.HOLD) and number == first + 2:
                if answer_mode is AnswerMode.STALL:
                    return self._wait_for_close(sock, run)
                self.resume_streams.wait()
            try:
                sock.sendall(http.send(h11.Data(data=data)) or b'')
            except OSError:
                run.is_cut = True
                raise
            gevent.sleep(self.event_gap_ms / 1e3)
        sock.sendall(http.send(h11.EndOfMessage()) or b'')
        return True

    def _send_complete(
        self,
        http: h11.Connection,
        sock: socket.socket,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> bool:
        head = [*headers, (b'content-length', str(len(body)).encode())]
        data = http.send(h11.Response(status_code=status, headers=head)) or b''
        if body:
            data += http.send(h11.Data(data=body)) or b''
        sock.sendall(data + (http.send(h11.EndOfMessage()) or b''))
        return True

    @staticmethod
    def _send_unframed(
        sock: socket.socket, headers: list[tuple[bytes, bytes]], *, is_cut: bool
    ) -> bool:
        lines = b''.join(b'%b: %b\r\n' % pair for pair in headers)
        sock.sendall(b'HTTP/1.1 200 OK\r\nConnection: close\r\n' + lines + b'\r\nunframed')
        gevent.sleep(0.01)
        if is_cut:
            reset(sock)
        return False

    @staticmethod
    def _wait_for_close(sock: socket.socket, run: ServerRun) -> bool:
        sock.settimeout(30.0)
        if not sock.recv(1):
            run.is_cut = True
        return False
