"""Tests that a caller gets an answer whatever its headers hold where a number is expected."""

from __future__ import annotations

import gevent
import pytest

from tests.support.gateway import GatewayFleet

UNREADABLE_COUNTS = ('9' * 4_301, '0' * 4_301, '9' * 400, str(2**63), '-1', '1.5', 'abc')
ODD_DURATIONS = ('nan', 'inf', '-inf', '1e400', '9' * 4_301, '1_000', '', 'abc')


@pytest.mark.parametrize('event_id', UNREADABLE_COUNTS)
def test_stream_is_not_begun_anew_after_an_unreadable_event_id(
    fleet: GatewayFleet, event_id: str
) -> None:
    # A very long id cut the connection without an answer. One that was ignored would begin the
    # stream again, and its caller would have the first events twice.
    reply = fleet.call('/stream/x', b'', last_event_id=event_id)
    assert (reply.status, reply.is_whole) == (400, True)
    assert not any(server.runs for server in fleet.servers.values())


@pytest.mark.parametrize('after', [*UNREADABLE_COUNTS, '%B2'])
def test_results_from_an_unreadable_position_are_rejected(fleet: GatewayFleet, after: str) -> None:
    # The same cut; results from the start would be taken for those from the position.
    assert fleet.submit('job-1').status == 202
    for at in range(len(fleet.instances)):
        reply = fleet.call(f'/-/lots/job-1?after={after}', b'', at=at, method='GET')
        assert (reply.status, reply.is_whole) == (400, True)


@pytest.mark.parametrize('wait_ms', ODD_DURATIONS)
def test_read_of_results_ends_whatever_its_wait(fleet: GatewayFleet, wait_ms: str) -> None:
    # A wait that is not a number never passes.
    for server in fleet.servers.values():
        server.answer_ms = 60_000.0
    assert fleet.submit('job-1').status == 202
    for at in range(len(fleet.instances)):
        with gevent.Timeout(10.0, AssertionError('no answer')):
            assert fleet.results('job-1', at=at, wait_ms=wait_ms)['results'] == []


@pytest.mark.parametrize('deadline_ms', ODD_DURATIONS)
def test_request_is_served_whatever_its_deadline(fleet: GatewayFleet, deadline_ms: str) -> None:
    for path in ('/fetch/x', '/stream/x', '/order/x'):
        reply = fleet.call(path, request_id=path, deadline_ms=deadline_ms)
        assert (reply.status, reply.is_whole) == (200, True)
    assert fleet.submit('job-1', deadline_ms=deadline_ms).status == 202


@pytest.mark.parametrize('length', ['9' * 4_301, '9' * 400, '0' * 4_301 + '4', '-1', '+4', '4, 4'])
def test_unreadable_length_of_a_body_is_answered(fleet: GatewayFleet, length: str) -> None:
    with fleet.connection(0) as sock:
        sock.sendall(
            b'POST /fetch/x HTTP/1.1\r\nHost: calls.example\r\nContent-Length: %b\r\n\r\nbody'
            % length.encode()
        )
        assert sock.recv(65_536).startswith(b'HTTP/1.1 4')


@pytest.mark.parametrize('size', [b'f' * 4_301, b'f' * 21, b'-4', b'+4', b'0x4', b''])
def test_unreadable_size_of_a_chunk_is_answered(fleet: GatewayFleet, size: bytes) -> None:
    with fleet.connection(0) as sock:
        sock.sendall(
            b'POST /fetch/x HTTP/1.1\r\nHost: calls.example\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'%b\r\nbody\r\n0\r\n\r\n' % size
        )
        sock.settimeout(10.0)
        assert sock.recv(65_536).startswith(b'HTTP/1.1 4')


@pytest.mark.parametrize(
    'tokens', ['9' * 400, '9' * 30, str(2**63), '-1', '-' + '9' * 400, '1e400']
)
def test_job_with_an_odd_number_of_tokens_is_rejected(fleet: GatewayFleet, tokens: str) -> None:
    # A number that no server can run would be added up and stored with the job, by all instances.
    item = b'{"id":"i-1","path":"/batch-stream/x","body":"","tokens":%b}' % tokens.encode()
    body = b'{"requests":[%b]}' % item
    reply = fleet.call('/batch-stream/job', body, request_id='job-1')
    assert (reply.status, reply.is_whole) == (400, True)
    assert fleet.submit('job-2').status == 202
    assert len(fleet.wait_done('job-2')) == 3
