"""Tests that a graceful shutdown aborts no request."""

from __future__ import annotations

import gevent

from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet, Reply, exchange, wait_until_seen


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
