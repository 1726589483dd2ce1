"""Tests that a lack of local resources is not blamed on the servers."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from typing import Any

import pytest

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers import server_sends
from citrondyke.gateway.servers.server_connection import open_connection
from tests.support.gateway import GatewayFleet


def _fail_to_open(
    monkeypatch: pytest.MonkeyPatch, number: int, is_failing: Callable[[], bool]
) -> None:
    """Have new connections to servers fail with an error of the system."""

    def fail_or_open(*arguments: Any) -> Any:
        if not is_failing():
            return open_connection(*arguments)
        error = OSError(number, os.strerror(number))
        raise BrokenReplyError(ReplyFailureKind.NO_CONNECTION, 'OSError') from error

    monkeypatch.setattr(server_sends, 'open_connection', fail_or_open)


@pytest.mark.parametrize(
    'number',
    [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL],
    ids=errno.errorcode.get,
)
def test_lack_of_local_resources_ejects_no_server(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    # One instance without a free file descriptor told the fleet that all servers were unreachable.
    _fail_to_open(monkeypatch, number, lambda: True)
    reply = fleet.call('/order/a', b'x')
    assert (reply.status, reply.is_whole) == (503, True)
    assert fleet.runs_of(b'x') == 0
    assert {state.failures_count for state in fleet.instances[0].book.states()} == {0}
    monkeypatch.undo()
    assert fleet.call('/order/a').status == 200


def test_idle_connections_give_way_to_a_request(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Idle connections to servers held the last file descriptors while requests were rejected.
    for number in range(3):
        assert fleet.call('/order/a', request_id=f'warm-{number}').status == 200
    idle = fleet.instances[0]._sends._idle
    _fail_to_open(monkeypatch, errno.EMFILE, lambda: any(idle._idle.values()))
    assert fleet.call('/order/a').status == 200
