"""An instance whose event loop is late does not take its own delay for a failure of a server."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from socket import socket as std_socket
from typing import Any

import gevent
import msgspec
import pytest
from gevent import get_hub, socket

from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.server_connection import ServerConnection, open_connection
from citrondyke.gateway.servers.server_sends import ServerSends
from citrondyke.ids import RequestId, ServerIncarnation
from citrondyke.util.clock import SystemClock
from tests.support.peers import listed_server

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
CLOCK = SystemClock()
#: Nothing is read or written here.
NO_DIALECT: Any = None


@pytest.fixture
def listener() -> Iterator[std_socket]:
    made = std_socket()
    made.bind(('127.0.0.1', 0))
    made.listen(4)
    yield made
    made.close()


def block_loop(blocked_s: float) -> None:
    """Block the event loop, with more events to handle afterwards than it polls at once."""
    pairs = [socket.socketpair() for _ in range(200)]
    for _, end in pairs:
        gevent.spawn(end.recv, 1)
    gevent.sleep(0.01)

    def block() -> None:
        for end, _ in pairs:
            end.send(b'x')
        time.sleep(blocked_s)

    get_hub().loop.run_callback(block)


def send_request(listener: std_socket) -> tuple[ServerConnection, std_socket]:
    connection = open_connection(CLOCK, '127.0.0.1', listener.getsockname()[1], 1_000.0)
    server, _ = listener.accept()
    connection.send(b'POST', b'/', [], b'')
    return connection, server


def test_answer_that_arrived_in_time_is_read_by_a_late_loop(listener: std_socket) -> None:
    # The server answers 200 ms before the deadline, but the loop is blocked until after it.
    connection, server = send_request(listener)
    reading = gevent.spawn(connection.read_head, CLOCK.now_ms() + 500.0)
    timer = threading.Timer(0.3, server.sendall, (HEAD,))
    timer.start()
    block_loop(0.7)
    assert reading.get().status == 200
    timer.join()


def test_silent_server_is_reported_at_the_deadline(listener: std_socket) -> None:
    connection, _ = send_request(listener)
    with pytest.raises(BrokenReplyError) as caught:
        connection.read_head(CLOCK.now_ms() + 100.0)
    assert caught.value.failure_kind is ReplyFailureKind.SILENT


def test_server_that_keeps_sending_does_not_extend_the_deadline(listener: std_socket) -> None:
    connection, server = send_request(listener)
    server.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n' + bytes(200_000))
    gevent.sleep(0.05)
    until_ms = CLOCK.now_ms() - 1.0
    connection.last_activity_ms = until_ms - 50.0
    connection.read_head(until_ms)
    assert connection.read_chunk(until_ms)
    with pytest.raises(BrokenReplyError) as caught:
        connection.read_chunk(until_ms)
    assert caught.value.failure_kind is ReplyFailureKind.SILENT


def test_deadline_while_connecting_does_not_eject_the_server() -> None:
    # A request with 20 ms left to its deadline reaches a server that accepts it later.
    with std_socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        waiting = [std_socket() for _ in range(8)]
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(full.getsockname())
        ip, port = full.getsockname()
        listed = msgspec.structs.replace(listed_server('app-1', 'app'), ip=ip, port=port)
        state = ServerState(listed, ServerIncarnation('app-1'))
        sends = ServerSends(CLOCK, NO_DIALECT, lambda _: None, lambda _: None)
        for within_ms, is_ejected in ((20.0, False), (5_000.0, True)):
            with pytest.raises(BrokenReplyError):
                sends.connect(
                    state, RequestId('r'), only_new=True, until_ms=CLOCK.now_ms() + within_ms
                )
            assert state.is_ejected(CLOCK.now_ms()) == is_ejected
        for each in waiting:
            each.close()
