"""Tests that an answer whose end was that of its connection reaches the caller as such."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Generator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import bottle
import h11
import msgspec
import pytest
from gevent import socket

from citrondyke.decisions.at_most_once.intent_row import IntentRow, StoredReply
from citrondyke.decisions.at_most_once.once_executor import OnceExecutor
from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.request import OnlineResult, OnlineResultKind
from citrondyke.entry.online_endpoint import OnlineEndpoint, stored_response
from citrondyke.entry.server import entry_server
from citrondyke.ids import SessionId
from citrondyke.storage.table_service import Committed
from tests.support.entry_program import BODY_BYTES
from tests.support.gateway import LONGEST_S, Reply, read_reply, wait_until_seen
from tests.support.manual_clock import manual_context
from tests.support.program import Program
from tests.test_backend.test_backend_ends import OK, call

PART = b'{"a":'


def test_answer_states_whether_it_ended_with_its_connection() -> None:
    assert call(OK + b'\r\n{"a":').ends_with_connection
    assert not call(OK + b'Content-Length: 2\r\n\r\n{}').ends_with_connection


class FakeCommitter:
    """Commits every row, and keeps the last one."""

    def __init__(self) -> None:
        self.row: IntentRow | None = None

    def submit(self, _key: object, _version: object, row: IntentRow) -> Signal[Any]:
        self.row = msgspec.json.decode(msgspec.json.encode(row), type=IntentRow)
        done: Signal[Any] = Signal()
        done.fire(Committed(1))
        return done


def part_of_answer(*, ends_with_connection: bool) -> OnlineResult:
    reply = ServerReply(
        kind=ReplyKind.COMPLETE,
        status=200,
        body=PART,
        ends_with_connection=ends_with_connection,
    )
    return OnlineResult(kind=OnlineResultKind.ANSWERED, reply=reply)


def stored(result: OnlineResult) -> StoredReply:
    """Store the answer of a request that runs at most once; return it as it is read again."""
    began: Signal[None] = Signal()
    began.fire(None)
    session: Any = SimpleNamespace(
        began=began, is_lease_valid=lambda: True, session=SessionId('instance-0/1')
    )
    online: Any = SimpleNamespace(serve=lambda _: _returned(result))
    committer = FakeCommitter()
    as_committer: Any = committer
    leases: Any = None
    request: Any = SimpleNamespace(
        tenant_id='t', method='POST', path='/', body=b'', deadline_ms=1e6
    )
    executor = OnceExecutor(manual_context(), session, as_committer, leases, online)
    workflow = executor.serve(request, 'key')
    with contextlib.suppress(StopIteration):
        next(workflow)
        while True:
            workflow.send(True)
    assert committer.row is not None
    assert committer.row.reply is not None
    return committer.row.reply


def _returned(result: OnlineResult) -> Generator[Any, Any, OnlineResult]:
    return result
    yield


def read_from_endpoint(callback: Callable[[], bytes]) -> Reply:
    app = bottle.Bottle()
    app.get('/', callback=callback)
    server = entry_server('127.0.0.1', 0, app, 10, {})
    server.start()
    http = h11.Connection(h11.CLIENT)
    with socket.create_connection(('127.0.0.1', server.server_port), LONGEST_S) as sock:
        data = http.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')])) or b''
        sock.sendall(data + (http.send(h11.EndOfMessage()) or b''))
        found = read_reply(http, sock)
    server.stop(timeout=0)
    return found


@pytest.mark.parametrize('is_stored', [False, True])
@pytest.mark.parametrize('ends_with_connection', [False, True])
def test_answer_without_a_length_is_forwarded_without_one(
    ends_with_connection: bool, is_stored: bool
) -> None:
    # The engine may have been killed midway; a length would say that the part is the whole.
    context: Any = SimpleNamespace()
    result = part_of_answer(ends_with_connection=ends_with_connection)
    found = read_from_endpoint(
        (lambda: stored_response(stored(result), is_streamed=False))
        if is_stored
        else (lambda: OnlineEndpoint(context).respond(result))
    )
    assert (found.status, found.body) == (200, PART)
    is_framed = 'content-length' in found.headers or 'transfer-encoding' in found.headers
    assert is_framed is not ends_with_connection
    assert (found.headers.get('connection') == 'close') is ends_with_connection


@pytest.mark.parametrize('is_killed', [False, True])
def test_answer_without_a_length_looks_whole_only_if_all_of_it_was_sent(
    tmp_path: Path, is_killed: bool
) -> None:
    # The kernel closes the connections of a killed process in order.
    with socket.create_server(('127.0.0.1', 0)) as free:
        port = free.getsockname()[1]
    program = Program('entry', 'tests.support.entry_program', [str(port)], tmp_path)
    try:
        sock = wait_until_seen(lambda: _try_connect(port), 'the program')
        with sock:
            sock.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            data = bytearray(sock.recv(1))
            if is_killed:
                program.kill()
                with pytest.raises(ConnectionResetError):
                    _read_on(sock, data)
            else:
                _read_on(sock, data)
                assert len(data.partition(b'\r\n\r\n')[2]) == BODY_BYTES
    finally:
        program.end()


def _try_connect(port: int) -> socket.socket | None:
    try:
        return socket.create_connection(('127.0.0.1', port), LONGEST_S)
    except ConnectionRefusedError:
        return None


def _read_on(sock: socket.socket, data: bytearray) -> None:
    while part := sock.recv(65_536):
        data += part
