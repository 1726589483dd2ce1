"""Tests that a response whose status is none is no response."""

from __future__ import annotations

import pytest

from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet


@pytest.mark.parametrize(('path', 'name'), [('/fetch/x', 'app-1'), ('/stream/x', 'lm-1')])
def test_repeatable_request_is_sent_to_another_server(
    fleet: GatewayFleet, path: str, name: str
) -> None:
    server = fleet.servers[name]
    server.answer_modes.append(AnswerMode.NO_STATUS)
    count = 0
    while server.answer_modes:
        count += 1
        reply = fleet.call(path, request_id=f'request-{count}')
        assert (reply.status, reply.is_whole) == (200, True)
    assert sum(len(each.runs) for each in fleet.servers.values()) == count + 1


def test_request_that_must_not_run_twice_fails_at_once(fleet: GatewayFleet) -> None:
    for server in fleet.servers.values():
        server.answer_modes.append(AnswerMode.NO_STATUS)
    assert fleet.call('/order/x').status == 502
    assert sum(len(server.runs) for server in fleet.servers.values()) == 1
