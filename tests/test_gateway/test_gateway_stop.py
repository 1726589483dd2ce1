"""Tests that a graceful shutdown aborts no request."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import gevent
import pytest
from gevent import socket

from citrondyke.gateway import graceful_shutdown
from citrondyke.gateway.graceful_shutdown import GracefulShutdown
from citrondyke.standin.platform_server import AnswerMode
from citrondyke.util.clock import SystemClock
from tests.support.caller import receive_answer
from tests.support.gateway import HOST, GatewayFleet, Reply, exchange, wait_until_seen

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_frontend import CallerFrontend

#: Time in which the load balancer still sends, shortened for most tests.
BALANCER_MS = 300.0
#: From the request to stop until the process is killed.
GRACE_MS = 3_000.0


def test_requests_are_served_until_the_load_balancer_stops_sending(fleet: GatewayFleet) -> None:
    # An instance is stopped in the middle of a stream. Its health check fails at once, the stream
    # ends whole, and requests that the load balancer still sends are served.
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].event_gap_ms = 200.0
    instance = fleet.instances[0]
    replies: list[Reply] = []
    with fleet.connection() as sock, fleet.connection() as kept:
        reader = gevent.spawn(lambda: replies.append(exchange(sock, '/stream/a', b'')))
        wait_until_seen(lambda: any(s.runs for s in fleet.servers.values()), 'the stream')
        instance.request_stop()
        stopping = gevent.spawn(instance.run_until_stopped)
        gevent.sleep(0.05)
        assert not instance.is_ready
        late = exchange(kept, '/fetch/a', b'x', request_id='late')
        assert (late.status, late.headers['connection']) == (200, 'close')
        reader.join(10.0)
        assert replies[0].is_whole
        stopping.join(10.0)
        assert stopping.ready()


def test_shutdown_ends_though_a_server_is_unresponsive(fleet: GatewayFleet) -> None:
    for name in ('app-1', 'app-2'):
        fleet.servers[name].answer_modes.append(AnswerMode.SILENT)
    instance = fleet.instances[0]
    with fleet.connection() as sock:
        gevent.spawn(exchange, sock, '/order/a', b'')
        wait_until_seen(lambda: any(s.runs for s in fleet.servers.values()), 'the request')
        instance.request_stop()
        stopping = gevent.spawn(instance.run_until_stopped)
        stopping.join(10.0)
        assert stopping.ready()


class _Stop:
    """An instance that stops while a stream at it is in progress."""

    def __init__(self, fleet: GatewayFleet, grace_ms: float = GRACE_MS) -> None:
        for server in fleet.servers.values():
            server.event_gap_ms = 200.0
        self.fleet = fleet
        self.instance = fleet.start_instance(stop_within_ms=grace_ms)
        self.at = len(fleet.instances) - 1
        fleet.wait_ready()
        self.replies: list[Reply] = []
        self.stopping: gevent.Greenlet | None = None

    def call(self, path: str, body: bytes = b'') -> gevent.Greenlet:
        def run() -> None:
            self.replies.append(self.fleet.call(path, body, at=self.at))

        return gevent.spawn(run)

    def begin(self) -> None:
        """Request the stop, and wait until the load balancer has stopped sending."""
        self.instance.request_stop()
        self.stopping = gevent.spawn(self.instance.run_until_stopped)
        gevent.sleep(BALANCER_MS / 1e3 + 0.1)

    def wait_runs(self) -> None:
        servers = self.fleet.servers.values()
        wait_until_seen(lambda: any(server.runs for server in servers), 'a run')

    def end(self) -> None:
        assert self.stopping is not None
        self.stopping.join(10.0)
        assert self.stopping.ready()


@pytest.fixture
def short_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, 'BALANCER_MS', BALANCER_MS)


def _send_head(sock: socket.socket, path: str, length: int) -> None:
    head = f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: slow\r\n'
    sock.sendall(f'{head}Content-Length: {length}\r\n\r\n'.encode())


@pytest.mark.usefixtures('short_balancer')
def test_stopping_instance_refuses_connections_that_nobody_would_read(fleet: GatewayFleet) -> None:
    # The kernel completes connections for a socket that is not accepted from: the request lies
    # unread until the process exits, seconds later.
    stop = _Stop(fleet)
    stop.call('/stream/a')
    stop.wait_runs()
    stop.begin()
    with pytest.raises(ConnectionRefusedError):
        fleet.call('/fetch/a', at=stop.at)
    assert not stop.replies
    stop.end()


@pytest.mark.usefixtures('short_balancer')
def test_body_that_arrives_slowly_is_served_by_a_stopping_instance(fleet: GatewayFleet) -> None:
    # Only requests that were read whole were waited for, so that the process exited meanwhile.
    stop = _Stop(fleet)
    with fleet.connection(stop.at) as sock:
        _send_head(sock, '/fetch/a', 2)
        stop.begin()
        assert stop.stopping is not None
        assert not stop.stopping.ready()
        sock.sendall(b'xx')
        assert receive_answer(sock).startswith(b'HTTP/1.1 200')
    stop.end()


@pytest.mark.usefixtures('short_balancer')
def test_order_that_may_be_cut_off_is_rejected_by_a_stopping_instance(fleet: GatewayFleet) -> None:
    # Its deadline is later than the end of the process, which could only leave its run open.
    stop = _Stop(fleet)
    with fleet.connection(stop.at) as sock:
        _send_head(sock, '/order/a', 2)
        stop.begin()
        sock.sendall(b'xx')
        answer = receive_answer(sock)
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in answer.lower()
    assert fleet.runs_of(b'xx') == 0
    stop.end()


@pytest.mark.usefixtures('short_balancer')
def test_end_of_a_stop_answers_what_is_left(fleet: GatewayFleet) -> None:
    # A request whose server is silent, and one whose body never came, ended without a response.
    for name in ('app-1', 'app-2'):
        fleet.servers[name].answer_modes.append(AnswerMode.SILENT)
    stop = _Stop(fleet, grace_ms=2_000.0)
    order = stop.call('/order/a', b'once')
    stop.wait_runs()
    with fleet.connection(stop.at) as sock:
        _send_head(sock, '/fetch/a', 2)
        stop.begin()
        stop.end()
        order.join(1.0)
        assert [(reply.status, reply.is_whole) for reply in stop.replies] == [(502, True)]
        assert receive_answer(sock).startswith(b'HTTP/1.1 503')


def test_idle_connections_are_closed_unless_a_request_has_arrived(fleet: GatewayFleet) -> None:
    # The request had arrived while its connection was still marked as idle.
    instance = fleet.instances[0]
    with fleet.connection() as idle, fleet.connection() as asked:
        for sock in (idle, asked):
            assert exchange(sock, '/fetch/a', b'x').status == 200
        wait_until_seen(lambda: instance.frontend.open_count == 2, 'both')
        _send_head(asked, '/fetch/a', 0)
        instance.frontend.close_idle()
        assert idle.recv(1) == b''
        assert receive_answer(asked).startswith(b'HTTP/1.1 200')


def test_peers_learn_of_a_stop_though_its_jobs_raise(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # They would count the instance as live, and its jobs as owned, until its heartbeat is missed.
    instance = fleet.instances[1]

    def fail(_: float) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(instance.batch, 'transfer_ownership', fail)
    left: list[bool] = []
    monkeypatch.setattr(instance.membership, 'leave', lambda: left.append(True))
    instance._transfer_ownership(0.0)
    assert left


def test_connection_accepted_last_is_served_by_a_stopping_instance() -> None:
    # It counted as open only once its greenlet had begun, and the process exited before.
    answered: list[bool] = []
    frontend = SimpleNamespace(open_count=0, busy_count=0, is_stopping=False)
    frontend.reject_after = frontend.close_idle = frontend.end_requests = lambda *_: None

    def serve() -> None:
        frontend.open_count = 1
        gevent.sleep(0.01)
        answered.append(True)
        frontend.open_count = 0

    accepted: list[tuple[object, ...]] = [()]
    listener = SimpleNamespace(
        stop_accepting=lambda: None,
        close=lambda: None,
        do_read=lambda: accepted.pop() if accepted else None,
        do_handle=lambda: gevent.spawn(serve),
    )
    stop = GracefulShutdown(
        SystemClock(), cast('CallerFrontend', frontend), listener, lambda _: None
    )
    stop.run(graceful_shutdown.STOP_MARGIN_MS + 100.0)
    assert answered
