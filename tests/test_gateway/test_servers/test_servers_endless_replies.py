"""Tests that servers that send without end cost neither the other requests nor the instance."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.server_connection import ServerConnection
from citrondyke.util.clock import SystemClock
from tests.support.manual_clock import ManualClock

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


class ReadySocket:
    """A socket whose peer sends faster than the reader reads."""

    def __init__(self, on_read: Callable[[], None]) -> None:
        self._on_read = on_read
        self._has_sent_head = False

    def settimeout(self, _: float) -> None: ...

    def setblocking(self, _: bool) -> None: ...

    def sendall(self, _: bytes) -> None: ...

    def recv(self, _: int) -> bytes:
        self._on_read()
        if not self._has_sent_head:
            self._has_sent_head = True
            return HEAD
        return b'x' * 1_000


def read_body(connection: ServerConnection, until_ms: float) -> None:
    connection.send(b'GET', b'/', [], b'')
    connection.read_head(until_ms)
    while connection.read_chunk(until_ms) is not None:
        pass


def test_reading_without_a_wait_lets_others_run() -> None:
    # Nothing makes the reading greenlet switch but the reader itself.
    has_run: list[bool] = []

    def check() -> None:
        if has_run:
            raise ConnectionResetError

    other = gevent.spawn_later(0.001, has_run.append, True)
    clock = SystemClock()
    connection = ServerConnection(clock, ReadySocket(check))
    with pytest.raises(BrokenReplyError) as caught:
        read_body(connection, clock.now_ms() + 20_000.0)
    other.join()
    assert caught.value.failure_kind is ReplyFailureKind.CUT


def test_deadline_holds_for_a_server_that_is_always_ready() -> None:
    clock = ManualClock()

    def pass_time() -> None:
        clock.ms += 1.0

    connection = ServerConnection(clock, ReadySocket(pass_time))
    until_ms = clock.ms + 100.0
    with pytest.raises(BrokenReplyError) as caught:
        read_body(connection, until_ms)
    assert caught.value.failure_kind is ReplyFailureKind.SILENT
    assert clock.ms <= until_ms + 2.0
