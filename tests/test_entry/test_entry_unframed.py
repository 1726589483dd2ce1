"""Tests that an answer whose end was that of its connection reaches the caller as such."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import bottle
import h11
import pytest
from gevent import socket

from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.online.request import OnlineResult, OnlineResultKind
from citrondyke.entry.online_endpoint import OnlineEndpoint
from citrondyke.entry.server import entry_server
from tests.support.gateway import LONGEST_S, read_reply
from tests.test_backend.test_backend_ends import OK, call


def test_answer_states_whether_it_ended_with_its_connection() -> None:
    assert call(OK + b'\r\n{"a":').ends_with_connection
    assert not call(OK + b'Content-Length: 2\r\n\r\n{}').ends_with_connection


@pytest.mark.parametrize('ends_with_connection', [False, True])
def test_answer_without_a_length_is_forwarded_without_one(ends_with_connection: bool) -> None:
    # The engine may have been killed midway; a length would say that the part is the whole.
    context: Any = SimpleNamespace()
    reply = ServerReply(
        kind=ReplyKind.COMPLETE,
        status=200,
        body=b'{"a":',
        ends_with_connection=ends_with_connection,
    )
    app = bottle.Bottle()
    result = OnlineResult(kind=OnlineResultKind.ANSWERED, reply=reply)
    app.get('/', callback=lambda: OnlineEndpoint(context).respond(result))
    server = entry_server('127.0.0.1', 0, app, 10, {})
    server.start()
    http = h11.Connection(h11.CLIENT)
    with socket.create_connection(('127.0.0.1', server.server_port), LONGEST_S) as sock:
        data = http.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')])) or b''
        sock.sendall(data + (http.send(h11.EndOfMessage()) or b''))
        found = read_reply(http, sock)
    server.stop(timeout=0)
    assert (found.status, found.body) == (200, reply.body)
    is_framed = 'content-length' in found.headers or 'transfer-encoding' in found.headers
    assert is_framed is not ends_with_connection
    assert (found.headers.get('connection') == 'close') is ends_with_connection
