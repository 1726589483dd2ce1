"""Tests that servers that send without end cost neither the other requests nor the instance."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.server_connection import ServerConnection
from citrondyke.standin.endless_reply import EndlessPart
from citrondyke.standin.platform_server import AnswerMode, PlatformServer, event_text
from citrondyke.util.clock import SystemClock
from tests.support.gateway import GatewayFleet, route, wait_until_seen
from tests.support.manual_clock import ManualClock

TIMEOUT_MS = 1_500
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


@pytest.fixture
def endless_fleet() -> Iterator[GatewayFleet]:
    """One instance, whose routes have short timeouts; two servers of each service."""
    made = GatewayFleet()
    try:
        made.configure(
            routes=[
                route('fetch', 'idempotent', 'app', timeout_ms=TIMEOUT_MS),
                route('stream', 'streaming', 'lm', resumable=True, timeout_ms=TIMEOUT_MS),
                route('batch-stream', 'batch', 'lm', completion_slo_ms=18_000, max_wait_s=60),
            ]
        )
        for name in ('app-1', 'app-2', 'lm-1', 'lm-2'):
            made.add_server(name, name.partition('-')[0])
        made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


def arm(fleet: GatewayFleet, service: str, part: EndlessPart, count: int) -> list[PlatformServer]:
    """Have each server of a service answer some requests without end."""
    servers = [server for name, server in fleet.servers.items() if name.startswith(service)]
    for server in servers:
        server.endless_part = part
        server.answer_modes.extend([AnswerMode.ENDLESS] * count)
    return servers


def are_closed(servers: list[PlatformServer]) -> bool:
    runs = [run for server in servers for run in server.runs]
    return all(run.is_aborted for run in runs if run.answer_mode is AnswerMode.ENDLESS)


@pytest.mark.parametrize('part', EndlessPart)
@pytest.mark.parametrize(('path', 'service'), [('/stream/x', 'lm'), ('/fetch/x', 'app')])
def test_request_with_an_answer_without_end_is_ended(
    endless_fleet: GatewayFleet, path: str, service: str, part: EndlessPart
) -> None:
    servers = arm(endless_fleet, service, part, 1)
    caller = gevent.spawn(endless_fleet.call, path)
    wait_until_seen(lambda: any(server.runs for server in servers), 'the request to be sent')
    other = '/fetch/x' if service == 'lm' else '/stream/x'
    for number in range(5):
        reply = endless_fleet.call(other, request_id=f'other-{number}')
        assert (reply.status, reply.is_whole) == (200, True)
    reply = caller.get()
    assert reply.status != 200 or not reply.is_whole
    wait_until_seen(lambda: are_closed(servers), 'the connections to be closed')


@pytest.mark.parametrize('part', EndlessPart)
def test_item_with_an_answer_without_end_is_run_again(
    endless_fleet: GatewayFleet, part: EndlessPart
) -> None:
    servers = arm(endless_fleet, 'lm', part, 2)
    assert endless_fleet.submit('job', 2).status == 202
    results = endless_fleet.wait_done('job')
    text = '\n'.join(event_text(number) for number in range(1, 7))
    assert [(each['state'], each['text']) for each in results] == [('completed', text)] * 2
    wait_until_seen(lambda: are_closed(servers), 'the connections to be closed')
