"""An end that nothing proves is not taken for the end of a response."""

from __future__ import annotations

import threading

import pytest

from citrondyke.backend.client import BackendClient
from citrondyke.backend.connections import IdleConnections
from citrondyke.decisions.core.server_call import ReplyKind, ServerCall, ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import ObjectKey, RequestId, ServerId
from citrondyke.storage._platform_http import PlatformHttpClient
from citrondyke.storage.failure import AMBIGUOUS
from citrondyke.storage.http_object_store import HttpObjectStore
from citrondyke.util.clock import SystemClock
from tests.test_backend.test_backend_client import receive_request, std_socket

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'


class ClosingServer(threading.Thread):
    """A server with a thread of its own that answers one request and closes the connection."""

    def __init__(self, answer: bytes) -> None:
        super().__init__(daemon=True)
        self._answer = answer
        self._listener = std_socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(1)
        self.port: int = self._listener.getsockname()[1]

    def run(self) -> None:
        with self._listener:
            sock, _ = self._listener.accept()
        with sock:
            if receive_request(sock):
                sock.sendall(self._answer)


def call(answer: bytes, *, is_streamed: bool = False) -> ServerReply:
    server = ClosingServer(answer)
    server.start()
    clock = SystemClock()
    client = BackendClient(IdleConnections(1), clock, lambda _: ('127.0.0.1', server.port), 65_536)
    return client.call(
        ServerCall(
            server_id=ServerId('server'),
            request_id=RequestId('request'),
            method='POST',
            path='/',
            body=b'{}',
            is_streamed=is_streamed,
            deadline_ms=clock.now_ms() + 5_000.0,
            cancel=Signal(),
        )
    )


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


@pytest.mark.parametrize('received', [b'', b'{"a":', b'{}'])
@pytest.mark.parametrize('status', [b'200 OK', b'500 Failed', b'503 Full'])
def test_answer_that_is_shorter_than_its_length_is_a_cut(status: bytes, received: bytes) -> None:
    # The caller would get the part that came, with a length of its own.
    answer = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 9\r\n\r\n' + received
    assert call(answer).kind is ReplyKind.CUT


@pytest.mark.parametrize(
    ('status', 'kind', 'body', 'is_whole'),
    [
        (b'200 OK', b'application/json', b'{"a":', False),
        (b'200 OK', b'Application/JSON; charset=utf-8', b'', False),
        (b'200 OK', b'application/json', b'{"a":1}', True),
        (b'200 OK', b'text/plain', b'{"a":', True),
        (b'500 Failed', b'application/json', b'{"a":', True),
    ],
)
def test_json_that_ends_with_its_connection_is_a_cut_if_its_end_is_missing(
    status: bytes, kind: bytes, body: bytes, is_whole: bool
) -> None:
    # Failure: a part is the stored answer of a request, or the result of an item.
    reply = call(b'HTTP/1.1 ' + status + b'\r\nContent-Type: ' + kind + b'\r\n\r\n' + body)
    assert reply.kind is (ReplyKind.COMPLETE if is_whole else ReplyKind.CUT)


@pytest.mark.parametrize(
    'lines',
    [
        b'Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: chunked, identity\r\n',
        b'Transfer-Encoding: identity\r\n',
        b'Transfer-Encoding: chunked \r\n',
        CHUNKED + b'Content-Length: 7\r\n',
        b'Content-Length: 7\r\nContent-Length: 9\r\n',
        b'Content-Length: -7\r\n',
        b'Content-Length: +7\r\n',
        b'Content-Length: 7x\r\n',
        b'Content-Length: \r\n',
    ],
)
@pytest.mark.parametrize('is_streamed', [False, True])
def test_answer_whose_end_has_two_readings_is_a_cut(lines: bytes, is_streamed: bool) -> None:
    # The heads of chunks would reach callers as text, or a part as the whole answer.
    kind = b'Content-Type: text/event-stream\r\n' if is_streamed else b''
    body = chunk(b'data: 1\n\ndata: [DONE]\n\n') + b'0\r\n\r\n'
    answer = OK + kind + lines + b'\r\n' + body
    assert call(answer, is_streamed=is_streamed).kind is ReplyKind.CUT


@pytest.mark.parametrize('lines', [CHUNKED, CHUNKED.lower(), b'Transfer-Encoding:  Chunked\r\n'])
def test_answer_in_chunks_is_read(lines: bytes) -> None:
    reply = call(OK + lines + b'\r\n' + chunk(b'{}') + b'0\r\n\r\n')
    assert (reply.kind, reply.body) == (ReplyKind.COMPLETE, b'{}')


EVENTS = OK + b'Content-Type: text/event-stream\r\n' + CHUNKED + b'\r\n'
FIRST, SECOND, DONE = b'data: 1\n\n', b'data: 2\n\n', b'data: [DONE]\n\n'


@pytest.mark.parametrize(
    'chunks',
    [
        [FIRST + DONE + SECOND],
        [FIRST + DONE, SECOND],
        [FIRST + DONE + SECOND + DONE],
        [FIRST, DONE, b': ping\n\n', SECOND],
    ],
)
def test_events_after_the_final_one_are_a_cut(chunks: list[bytes]) -> None:
    # The engine contradicts itself; what follows may belong to another stream.
    answer = EVENTS + b''.join(map(chunk, chunks)) + b'0\r\n\r\n'
    reply = call(answer, is_streamed=True)
    assert (reply.kind, reply.frames) == (ReplyKind.CUT, (b'1',))


@pytest.mark.parametrize(
    'final', [DONE, b'data:[DONE]\n\n', b': ping\ndata: [DONE]\n\n', DONE + b': ping\n\n']
)
def test_final_event_is_known_by_its_data(final: bytes) -> None:
    reply = call(EVENTS + chunk(FIRST + final) + b'0\r\n\r\n', is_streamed=True)
    assert (reply.kind, reply.frames) == (ReplyKind.COMPLETE, (b'1',))


@pytest.mark.parametrize('kind', [b'text/event-stream', b'Text/Event-Stream'])
@pytest.mark.parametrize('ending', [b'0\r\n\r\n', b''])
def test_stream_without_the_final_event_is_a_cut(ending: bytes, kind: bytes) -> None:
    # Failure: a stream whose media type is written otherwise ends with its frame, as whole.
    head = EVENTS.replace(b'text/event-stream', kind)
    reply = call(head + chunk(FIRST + SECOND) + ending, is_streamed=True)
    assert (reply.kind, reply.frames) == (ReplyKind.CUT, (b'1', b'2'))


def test_comments_are_not_counted_as_events() -> None:
    # A run that goes on after a wrong number of events leaves some out.
    reply = call(EVENTS + chunk(FIRST + b': ping\n\n' + SECOND), is_streamed=True)
    assert (reply.frames_count, reply.frames) == (2, (b'1', b'2'))


@pytest.mark.parametrize(
    ('framing', 'is_whole'),
    [(b'Content-Length: 4', True), (b'Content-Length: 6', False), (b'Connection: close', False)],
)
def test_object_without_a_length_may_have_been_broken_off(framing: bytes, is_whole: bool) -> None:
    # A store that is killed closes its connections in order: a part looks like the whole.
    server = ClosingServer(OK + framing + b'\r\n\r\npart')
    server.start()
    store = HttpObjectStore(PlatformHttpClient(f'http://127.0.0.1:{server.port}', 2_000.0))
    assert store.get(ObjectKey('key')) == (b'part' if is_whole else AMBIGUOUS)
