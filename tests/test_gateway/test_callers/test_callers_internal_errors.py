"""Tests that an unexpected exception becomes an answer, not a connection closed without one."""

from __future__ import annotations

from typing import Any

import pytest

from citrondyke.errors.instance_stopping import InstanceStoppingError
from citrondyke.gateway.callers.caller_connection import CallerConnection
from citrondyke.gateway.callers.event_stream import EventSplitter, StreamEvent
from citrondyke.gateway.metrics import Metrics
from tests.support.caller import receive_answer
from tests.support.gateway import HOST, GatewayFleet, exchange


class _UnexpectedError(Exception):
    """One that no handler names."""


def _fail(*_: Any, **__: Any) -> Any:
    raise _UnexpectedError


def _failures(metrics: Metrics) -> int:
    return metrics.counters['requests_failed_internally']


@pytest.fixture
def aborted(monkeypatch: pytest.MonkeyPatch) -> list[CallerConnection]:
    """Connections that would have been reset."""
    found: list[CallerConnection] = []

    def record(connection: CallerConnection) -> None:
        found.append(connection)

    monkeypatch.setattr(CallerConnection, 'abort', record)
    return found


def test_exception_before_a_send_is_answered_500(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A number that no decoder expects ends the handler of a sound connection.
    instance = fleet.instances[0]
    monkeypatch.setattr(instance.guard, 'verdict_on', _fail)
    reply = fleet.call('/order/a')
    assert (reply.status, reply.is_whole, reply.headers['connection']) == (500, True, 'close')
    assert reply.headers['attempt-id'] == 'request-1'
    assert 'retry-after' not in reply.headers
    assert _failures(instance.metrics) == 1


def test_exception_after_a_send_is_answered_502(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The order may have run: no status that promises the contrary, and no second run.
    instance = fleet.instances[0]
    monkeypatch.setattr(instance._sends, 'read_reply', _fail)
    reply = fleet.call('/order/a', b'once')
    assert (reply.status, reply.is_whole) == (502, True)
    assert _failures(instance.metrics) == 1
    monkeypatch.undo()
    assert fleet.call('/order/a', b'again').status == 200
    assert fleet.runs_of(b'once') <= 1
    assert not any(state.own.online for state in instance.book.states())


def test_exception_inside_a_stream_resets_it(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An error response inside a stream would be read as a part of it.
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 100.0
    feed = EventSplitter.feed

    def feed_first(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
        return _fail() if splitter.last_id is not None else feed(splitter, data)

    monkeypatch.setattr(EventSplitter, 'feed', feed_first)
    reply = fleet.call('/stream/a')
    assert (reply.status, reply.is_whole) == (200, False)
    assert b'id:' in reply.body
    assert b'HTTP/1.1' not in reply.body
    assert _failures(fleet.instances[0].metrics) == 1


@pytest.mark.parametrize('connection', ['keep-alive', 'close'])
def test_exception_after_a_whole_answer_leaves_it_whole(
    fleet: GatewayFleet,
    monkeypatch: pytest.MonkeyPatch,
    aborted: list[CallerConnection],
    connection: str,
) -> None:
    # A reset can overtake the response that was just sent.
    instance = fleet.instances[0]
    monkeypatch.setattr(instance.guard, 'record_survived', _fail)
    reply = fleet.call('/order/a', connection=connection)
    assert (reply.status, reply.is_whole) == (200, True)
    assert _failures(instance.metrics) == 1
    assert not aborted


def test_stop_after_a_whole_answer_leaves_it_whole(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch, aborted: list[CallerConnection]
) -> None:
    # At the end of a stop a second response was begun after the whole one, and reset both.
    def stop(*_: Any) -> Any:
        raise InstanceStoppingError

    monkeypatch.setattr(fleet.instances[0].guard, 'record_survived', stop)
    reply = fleet.call('/order/a')
    assert (reply.status, reply.is_whole) == (200, True)
    assert not aborted


@pytest.mark.parametrize('error', [OSError, _UnexpectedError])
def test_exception_in_a_job_call_is_answered_500(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    # An error of the system that is no matter of the caller's connection was taken for its end.
    def fail(*_: Any) -> Any:
        raise error

    instance = fleet.instances[0]
    monkeypatch.setattr(instance.batch.store, 'current_head', fail)
    reply = fleet.call('/-/lots/some-job?after=0', b'', method='GET')
    assert (reply.status, reply.is_whole) == (500, True)
    assert _failures(instance.metrics) == 1


def test_exception_in_an_acceptance_is_answered_and_loses_no_job(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The store has the job, but the instance failed before it began to run its items.
    instance = fleet.instances[0]
    monkeypatch.setattr(instance.batch.acceptor, '_record_accepted', _fail)
    assert fleet.submit('job-1').status == 500
    monkeypatch.undo()
    assert fleet.submit('job-1', at=1).status == 202
    assert {result['state'] for result in fleet.wait_done('job-1')} == {'completed'}


def test_later_requests_are_served_after_an_exception(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    instance = fleet.instances[0]
    monkeypatch.setattr(instance._adapters.dialect, 'request_metadata', _fail)
    with fleet.connection() as sock:
        assert exchange(sock, '/fetch/a', b'x').status == 500
        assert sock.recv(1) == b''
    monkeypatch.undo()
    assert fleet.call('/fetch/a').status == 200
    assert instance.frontend.busy_count == 0


def test_tunnel_is_refused_before_it_reaches_a_server(fleet: GatewayFleet) -> None:
    # A success of it switches protocols, so that the response of a server that had run it was lost.
    with fleet.connection() as sock:
        sock.sendall(f'CONNECT /order/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode())
        assert receive_answer(sock).startswith(b'HTTP/1.1 400')
    assert not any(server.runs for server in fleet.servers.values())
    assert _failures(fleet.instances[0].metrics) == 0
