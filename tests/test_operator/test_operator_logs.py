"""Log lines and statsd metrics."""

from __future__ import annotations

import json
import socket

import pytest

from tests.support.fleet import Fleet
from tests.support.waiting import wait_until


@pytest.mark.fleet(instances=1, engines=1)
def test_requests_are_logged_as_json_lines(fleet: Fleet) -> None:
    answer = fleet.caller().chat('hello')
    fleet.caller().chat('hello', model='none')

    def logged() -> list[dict[str, str]]:
        lines = [json.loads(line) for line in fleet.program('instance-0').log_text.splitlines()]
        return [line for line in lines if line['message'] == 'request ended']

    (line,) = wait_until(logged, 'the request to be logged')
    expected = {
        'instance': 'instance-0',
        'zone': 'zone-1',
        'tenant': 'coastal',
        'class': 'calls',
        'request_id': answer.headers['X-Request-Id'],
        'outcome': 'ok',
    }
    assert {name: line[name] for name in expected} == expected


@pytest.mark.fleet(instances=1, engines=1)
def test_counters_and_gauges_reach_statsd(fleet: Fleet) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', fleet.statsd_port))
        server.settimeout(30)
        assert fleet.caller().chat('hello').status == 200
        received = b''

        def has_all() -> bool:
            nonlocal received
            received += server.recv(65_536) + b'\n'
            return b'requests.calls.ok:1|c' in received and b'config_version:1|g' in received

        wait_until(has_all, 'the counter and a gauge')
