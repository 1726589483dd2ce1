"""Tests of the metrics text and of the limit on its series."""

from __future__ import annotations

from gevent import socket

from citrondyke.gateway.metrics import ROUTES_LIMIT, Metrics
from tests.support.gateway import GatewayFleet


def test_text_has_counts_by_route_and_result() -> None:
    metrics = Metrics()
    metrics.record_request('r', 'done', 12.0, 700.0)
    metrics.record_request('r', 'turned_away', 0.3, 0.3)
    text = metrics.text()
    assert 'citrondyke_requests_total{route="r",end="done"} 1' in text
    assert 'citrondyke_first_answer_ms_bucket{route="r",le="20"} 2' in text
    assert 'citrondyke_answer_ms_bucket{route="r",le="500"} 1' in text
    assert 'citrondyke_answer_ms_count{route="r"} 2' in text


def test_number_of_series_is_limited() -> None:
    # Each version of the configuration can add routes with new names, so without a limit the number
    # of series would grow forever.
    metrics = Metrics()
    for number in range(ROUTES_LIMIT * 3):
        metrics.record_request(f'r-{number}', 'done', 1.0, 1.0)
    assert metrics.text().count('citrondyke_requests_total') == ROUTES_LIMIT + 1


def test_health_and_metrics_are_served(fleet: GatewayFleet) -> None:
    fleet.call('/fetch/a')
    instance = fleet.instances[0]
    address = (instance.address.ip, 18_001)
    with socket.create_connection(address, timeout=10.0) as sock:
        sock.sendall(b'GET /health HTTP/1.1\r\nHost: x\r\n\r\n')
        assert sock.recv(1_000).startswith(b'HTTP/1.1 200')
        sock.sendall(b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n')
        text = sock.recv(65_536)
    assert b'citrondyke_requests_total{route="fetch",end="done"} 1' in text
    assert b'citrondyke_config_version 1' in text
