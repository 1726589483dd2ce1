"""Tests that no way to end a stream early makes it look complete, in each HTTP version."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from citrondyke.errors.instance_stopping import InstanceStoppingError
from citrondyke.gateway.callers import caller_connection
from citrondyke.gateway.callers.event_stream import EventSplitter, StreamEvent
from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import HOST, GatewayFleet, wait_until_seen

EVENTS = 6
REQUEST = b'%b %b HTTP/%b\r\nHost: %b\r\nAttempt-Id: one\r\nContent-Length: 0\r\n%b\r\n'
KEEP_ALIVE = b'Connection: keep-alive\r\n'
VERSIONS = [(b'1.1', b''), (b'1.0', b''), (b'1.0', KEEP_ALIVE)]

Cut = Callable[[GatewayFleet, socket.socket, pytest.MonkeyPatch], None]


def begin(
    fleet: GatewayFleet, sock: socket.socket, version: tuple[bytes, bytes], **more: bytes
) -> None:
    """Send a request for a stream that takes a while."""
    for server in fleet.servers.values():
        server.event_gap_ms = 100.0
    path, method = more.get('path', b'/stream-once/a'), more.get('method', b'GET')
    sock.sendall(REQUEST % (method, path, version[0], HOST.encode(), version[1]))


def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """Return the bytes of a connection, and whether it ended in order."""
    data = b''
    try:
        while part := sock.recv(65_536):
            data += part
    except ConnectionResetError:
        return data, False
    return data, True


def server_cuts(fleet: GatewayFleet, _: socket.socket, __: pytest.MonkeyPatch) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].answer_modes.append(AnswerMode.CUT_IN_EVENT)


def handler_fails(_: GatewayFleet, __: socket.socket, patch: pytest.MonkeyPatch) -> None:
    raise_inside(patch, RuntimeError)


def instance_stops(_: GatewayFleet, __: socket.socket, patch: pytest.MonkeyPatch) -> None:
    raise_inside(patch, InstanceStoppingError)


def greenlet_is_killed(_: GatewayFleet, __: socket.socket, patch: pytest.MonkeyPatch) -> None:
    raise_inside(patch, gevent.GreenletExit)


def raise_inside(patch: pytest.MonkeyPatch, error: type[BaseException]) -> None:
    feed = EventSplitter.feed

    def feed_first(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
        if splitter.last_id is not None:
            raise error
        return feed(splitter, data)

    patch.setattr(EventSplitter, 'feed', feed_first)


def caller_half_closes(fleet: GatewayFleet, sock: socket.socket, _: pytest.MonkeyPatch) -> None:
    def half_close() -> None:
        wait_until_seen(lambda: any(s.runs for s in fleet.servers.values()), 'the stream')
        gevent.sleep(0.2)
        sock.shutdown(socket.SHUT_WR)

    gevent.spawn(half_close)


def stop_runs_out_of_time(fleet: GatewayFleet, _: socket.socket, __: pytest.MonkeyPatch) -> None:
    def end_requests() -> None:
        wait_until_seen(lambda: any(s.runs for s in fleet.servers.values()), 'the stream')
        gevent.sleep(0.2)
        for instance in fleet.instances:
            instance.frontend.end_requests()

    gevent.spawn(end_requests)


def deadline_passes(fleet: GatewayFleet, _: socket.socket, __: pytest.MonkeyPatch) -> None:
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].answer_modes.append(AnswerMode.STALL)


@pytest.mark.parametrize('version', VERSIONS)
@pytest.mark.parametrize(
    'cut',
    [
        server_cuts,
        handler_fails,
        instance_stops,
        stop_runs_out_of_time,
        greenlet_is_killed,
        caller_half_closes,
        deadline_passes,
    ],
)
def test_stream_that_is_cut_does_not_look_complete(
    fleet: GatewayFleet,
    monkeypatch: pytest.MonkeyPatch,
    version: tuple[bytes, bytes],
    cut: Cut,
) -> None:
    with fleet.connection() as sock:
        cut(fleet, sock, monkeypatch)
        begin(fleet, sock, version)
        data, is_orderly = read_to_end(sock)
    assert data.startswith(b'HTTP/1.1 200')
    assert 0 < data.count(b'\nid: ') < EVENTS
    assert not data.endswith(b'0\r\n\r\n')
    assert not is_orderly or version == VERSIONS[0]


@pytest.mark.parametrize('version', VERSIONS)
def test_sound_stream_is_complete_with_requests_behind_it(
    fleet: GatewayFleet, version: tuple[bytes, bytes]
) -> None:
    with fleet.connection() as sock:
        begin(fleet, sock, version)
        behind = REQUEST % (
            b'GET',
            b'/fetch/a',
            version[0],
            HOST.encode(),
            b'Connection: close\r\n',
        )
        sock.sendall(behind)
        data, is_orderly = read_to_end(sock)
    assert data.count(b'\nid: ') == EVENTS
    assert is_orderly
    assert data.count(b'HTTP/1.1 200') == (2 if version == VERSIONS[0] else 1)


@pytest.mark.parametrize('version', VERSIONS)
def test_head_of_a_stream_route_has_no_body(
    fleet: GatewayFleet, version: tuple[bytes, bytes]
) -> None:
    with fleet.connection() as sock:
        begin(fleet, sock, version, method=b'HEAD')
        begin(fleet, sock, (b'1.1', b'Connection: close\r\n'), path=b'/fetch/a')
        data, _ = read_to_end(sock)
    head, _, rest = data.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 ')
    assert not rest or rest.startswith(b'HTTP/1.1 ')


@pytest.mark.parametrize('version', VERSIONS)
def test_caller_that_does_not_read_gets_no_complete_part(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch, version: tuple[bytes, bytes]
) -> None:
    monkeypatch.setattr(caller_connection, 'WRITE_STALL_S', 0.2)
    feed = EventSplitter.feed

    def feed_large(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
        padding = b': ' + b'x' * 4_000_000 + b'\n'
        return [
            StreamEvent(padding + event.raw, event.id, event.data) for event in feed(splitter, data)
        ]

    monkeypatch.setattr(EventSplitter, 'feed', feed_large)
    with fleet.connection() as sock:
        begin(fleet, sock, version)
        gevent.sleep(1.5)
        data, is_orderly = read_to_end(sock)
    assert data.count(b'\nid: ') < EVENTS
    assert not is_orderly
