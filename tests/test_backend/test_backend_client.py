"""A late event loop is not taken for a failure of the backend server."""

from __future__ import annotations

import select
import threading
import time
from typing import Any

import gevent
import pytest
from gevent import get_hub, socket
from gevent.monkey import get_original

from citrondyke.backend.client import BackendClient
from citrondyke.backend.connections import IdleConnections
from citrondyke.decisions.core.ops import ServerLoad
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall, ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import RequestId, ServerId
from citrondyke.util.clock import SystemClock
from citrondyke.util.open_socket import open_socket

#: A socket that blocks its thread, also in a process whose sockets are gevent's.
std_socket = get_original('socket', 'socket')

BODY = b'{}'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok'


class Server(threading.Thread):
    """A server with a thread of its own, so that it also runs while the event loop is blocked."""

    def __init__(
        self, *answers_after_s: float, answer: bytes = ANSWER, is_closing: bool = False
    ) -> None:
        super().__init__(daemon=True)
        self._is_closing = is_closing
        self._answer = answer
        self._answers_after_s = answers_after_s
        self._listener = std_socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(8)
        self.has_request = threading.Event()
        self.port: int = self._listener.getsockname()[1]

    def run(self) -> None:
        with self._listener:
            sock, _ = self._listener.accept()
        with sock:
            for answer_after_s in self._answers_after_s:
                if not receive_request(sock):
                    return
                self.has_request.set()
                # While the caller waits, its socket is readable only once the caller closes it.
                if select.select([sock], [], [], answer_after_s)[0]:
                    return
                sock.sendall(self._answer)
            if not self._is_closing:
                receive_request(sock)


def receive_request(sock: Any) -> bool:
    """Read a request; return whether one came before the caller closed its connection."""
    data = b''
    while not data.endswith(b'\r\n\r\n' if data.startswith(b'GET') else b'}'):
        part = sock.recv(65_536)
        if not part:
            return False
        data += part
    return True


class Caller:
    """A client of one server, and the clock of its deadlines."""

    def __init__(self, port: int) -> None:
        self.clock = SystemClock()
        self._client = BackendClient(
            IdleConnections(4), self.clock, lambda _: ('127.0.0.1', port), 65_536
        )

    def poll_load(self) -> ServerLoad | None:
        return self._client.poll_load(ServerId('server'), self.clock.now_ms() + 5_000.0)

    def call(
        self,
        within_ms: float,
        *,
        needs_new_connection: bool = False,
        refuses_by_status: bool = False,
    ) -> ServerReply:
        return self._client.call(
            ServerCall(
                server_id=ServerId('server'),
                request_id=RequestId('request'),
                method='POST',
                path='/',
                body=BODY,
                needs_new_connection=needs_new_connection,
                refuses_by_status=refuses_by_status,
                deadline_ms=self.clock.now_ms() + within_ms,
                cancel=Signal(),
            )
        )


def start_server(*answers_after_s: float) -> Caller:
    """Start a server that answers some requests and closes the connection at the next one."""
    server = Server(*answers_after_s)
    server.start()
    return Caller(server.port)


def test_deadline_timer_of_a_late_loop_is_not_a_cut() -> None:
    # Other events take 200 ms of the iteration in which the request is sent. A timer that counts
    # from the start of the iteration fires before the deadline, and the aborted request looks as if
    # the server had closed the connection.
    server = Server(30.0)
    server.start()
    caller = Caller(server.port)
    polled = get_hub().loop.check()

    def block() -> None:
        if server.has_request.is_set():
            polled.stop()
            return
        time.sleep(0.2)

    polled.start(block)
    began_ms = caller.clock.now_ms()
    reply = caller.call(1_500.0)
    polled.close()
    assert reply.kind is ReplyKind.LATE
    assert caller.clock.now_ms() - began_ms >= 1_500.0


def test_answer_that_arrived_in_time_is_read_by_a_late_loop() -> None:
    # The loop is blocked until after the deadline; the answer had arrived before.
    caller = start_server(0.1)
    calling = gevent.spawn(caller.call, 200.0)
    gevent.sleep(0.05)
    time.sleep(0.4)
    reply: ServerReply = calling.get()
    assert (reply.kind, reply.body) == (ReplyKind.COMPLETE, b'ok')


def test_connection_established_while_the_loop_was_late_is_used() -> None:
    # The loop is blocked for longer than the timeout of the connect, which had succeeded, and has
    # more events to handle afterwards than it polls at once.
    listener = std_socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(1)
    pairs = [socket.socketpair() for _ in range(200)]
    for _, end in pairs:
        gevent.spawn(end.recv, 1)
    gevent.sleep(0.01)

    def block() -> None:
        for end, _ in pairs:
            end.send(b'x')
        time.sleep(0.4)

    opening = gevent.spawn(open_socket, *listener.getsockname(), 0.2)
    get_hub().loop.run_callback(block)
    assert opening.get().getpeername() == listener.getsockname()
    listener.close()


def test_deadline_while_connecting_is_not_an_unreachable_server() -> None:
    # The deadline is shorter than the timeout of a connect: the request has not run, and the
    # server has not failed.
    listener = std_socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    filling = [std_socket() for _ in range(8)]
    for each in filling:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    reply = Caller(listener.getsockname()[1]).call(150.0)
    for each in [*filling, listener]:
        each.close()
    assert reply.kind is ReplyKind.EXPIRED
    assert reply.was_not_run


def test_connection_that_the_server_closes_is_a_cut() -> None:
    assert start_server().call(5_000.0).kind is ReplyKind.CUT


def test_request_that_needs_a_new_connection_leaves_an_idle_one_of_an_exiting_server() -> None:
    # The server exits: it no longer listens, and its idle connection is closed a moment later.
    caller = start_server(0.0)
    assert caller.call(5_000.0).kind is ReplyKind.COMPLETE
    reply = caller.call(5_000.0, needs_new_connection=True)
    assert reply.kind is ReplyKind.UNREACHABLE
    assert reply.was_not_run
    assert caller.call(5_000.0).kind is ReplyKind.CUT


ODD_NUMBERS = (*('9' * 400, '9' * 4_301, '\u00b2', '-1', 'nan', 'inf', '1e400', ''), 'soon')


@pytest.mark.parametrize('retry_after', ODD_NUMBERS)
def test_odd_retry_time_of_a_rejection_is_ignored(retry_after: str) -> None:
    # The request was rejected; an error from the conversion would leave it without an answer, and
    # an infinite time can't be passed on to its caller.
    head = f'HTTP/1.1 503 Full\r\nRetry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n'
    server = Server(0.0, answer=head.encode('latin-1'))
    server.start()
    reply = Caller(server.port).call(5_000.0, refuses_by_status=True)
    assert (reply.kind, reply.retry_in_ms) == (ReplyKind.REFUSED, None)


@pytest.mark.parametrize(
    'body',
    [
        b'{"x":' + b'[' * 5_000 + b']' * 5_000 + b'}',
        b'{"running":%b,"waiting":0,"max_running":1}' % (b'9' * 400),
        b'{"running":-1,"waiting":0,"max_running":1}',
        b'\xff',
    ],
)
def test_unreadable_load_of_a_server_is_ignored(body: bytes) -> None:
    # An error that the client doesn't expect would end the task that polls the load.
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body)
    server = Server(0.0, answer=answer)
    server.start()
    assert Caller(server.port).poll_load() is None


@pytest.mark.parametrize('status', ['000', '099', '102', '103', '600', '999'])
def test_response_without_a_final_status_is_a_cut(status: str) -> None:
    # The final response behind an interim one would be taken for the next request's.
    head = f'HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n'
    server = Server(0.0, answer=head.encode() + ANSWER)
    server.start()
    assert Caller(server.port).call(5_000.0).kind is ReplyKind.CUT


@pytest.mark.parametrize('end', [9, 13, 15, 17, 20, 45, -4, -3])
def test_response_that_ends_inside_its_head_is_a_cut(end: int) -> None:
    # Without its end a head lacks the length: the part that came would be a whole response.
    server = Server(0.0, answer=ANSWER.removesuffix(b'ok')[:end], is_closing=True)
    server.start()
    assert Caller(server.port).call(5_000.0).kind is ReplyKind.CUT
