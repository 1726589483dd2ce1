"""Tests that requests are forwarded unchanged, and that each caller gets its own response."""

from __future__ import annotations

import gevent
import pytest

from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.gateway.peers.peer_codec import LoadNotice
from citrondyke.standin.platform_server import AnswerMode, PlatformServer
from tests.support.gateway import GatewayFleet, Reply, exchange, wait_until_seen


def runs(fleet: GatewayFleet, prefix: str) -> int:
    return sum(
        len(server.runs) for name, server in fleet.servers.items() if name.startswith(prefix)
    )


def tell(fleet: GatewayFleet, prefix: str, act: AnswerMode, *, times: int = 1) -> None:
    """Make all servers of a service handle their next requests in the given way."""
    for name, server in fleet.servers.items():
        if name.startswith(prefix):
            server.answer_modes.extend([act] * times)


def served_by(fleet: GatewayFleet, prefix: str) -> list[PlatformServer]:
    return [
        server for name, server in fleet.servers.items() if name.startswith(prefix) and server.runs
    ]


def test_request_arrives_unchanged_and_answer_too(fleet: GatewayFleet) -> None:
    body = bytes(range(256)) * 40
    reply = fleet.call('/fetch/a%20b?x=1&y=%2f', body, method='PUT', model='m', x_own='kept')
    (server,) = served_by(fleet, 'app')
    (run,) = server.runs
    assert (run.method, run.target, run.body) == (b'PUT', b'/fetch/a%20b?x=1&y=%2f', body)
    assert (run.request_id, run.headers[b'model']) == ('request-1', b'm')
    assert run.headers[b'x-own'] == b'kept'
    assert run.headers[b'expect-instance'].decode() == server.server_id
    assert (reply.status, reply.body, reply.is_whole) == (200, b'answer to ' + body, True)
    assert reply.headers['response-seal'].startswith(f'seal-{server.server_id}')


def test_server_gets_no_more_time_than_is_left(fleet: GatewayFleet) -> None:
    fleet.call('/fetch/a', deadline_ms='1200')
    fleet.call('/fetch/a', deadline_ms='90000', request_id='request-2')
    left = [
        int(run.headers[b'deadline-ms'])
        for server in served_by(fleet, 'app')
        for run in server.runs
    ]
    assert 0 < min(left) <= 1_200
    assert max(left) <= 5_000


@pytest.mark.parametrize(
    'act',
    [
        AnswerMode.CUT,
        AnswerMode.WRONG_ID,
        AnswerMode.UNSIGNED,
        AnswerMode.UNFRAMED_CUT,
        AnswerMode.FAIL,
        AnswerMode.REFUSE,
    ],
)
def test_idempotent_request_is_retried_at_another_server(
    fleet: GatewayFleet, act: AnswerMode
) -> None:
    # One server truncates or corrupts its response, fails, or rejects the request. The caller sees
    # only the whole response of the other server.
    fleet.servers['app-1'].answer_modes.extend([act] * 4)
    for number in range(8):
        body = b'mine %d' % number
        reply = fleet.call('/fetch/a', body, request_id=f'request-{number}')
        assert (reply.status, reply.body) == (200, b'answer to ' + body)
    assert len(fleet.servers['app-1'].answer_modes) < 4


@pytest.mark.parametrize(
    'act', [AnswerMode.CUT, AnswerMode.WRONG_ID, AnswerMode.UNSIGNED, AnswerMode.UNFRAMED_CUT]
)
def test_order_that_may_have_run_is_sent_once_and_not_reported_as_not_run(
    fleet: GatewayFleet, act: AnswerMode
) -> None:
    # The server books the order, then its response is lost or corrupted. A retry by the gateway
    # would book it twice; a 503 would make the caller retry it.
    tell(fleet, 'app', act)
    reply = fleet.call('/order/a', request_id='order-1')
    assert reply.status == 502
    assert runs(fleet, 'app') == 1


def test_order_rejected_by_all_servers_gets_a_retry_time(fleet: GatewayFleet) -> None:
    tell(fleet, 'app', AnswerMode.REFUSE)
    reply = fleet.call('/order/a')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert runs(fleet, 'app') == 0


def test_order_rejected_by_one_server_runs_at_the_other(fleet: GatewayFleet) -> None:
    fleet.servers['app-1'].answer_modes.append(AnswerMode.REFUSE)
    replies = [fleet.call('/order/a', request_id=f'order-{n}') for n in range(4)]
    assert {reply.status for reply in replies} == {200}
    assert runs(fleet, 'app') == 4


def test_error_response_of_a_server_is_relayed_with_its_seal(fleet: GatewayFleet) -> None:
    tell(fleet, 'app', AnswerMode.FAIL, times=3)
    reply = fleet.call('/fetch/a')
    assert (reply.status, reply.body) == (500, b'failed')
    assert reply.headers['response-seal'].startswith('seal-')


def test_extra_response_reaches_no_caller(fleet: GatewayFleet) -> None:
    # A server sends a second response after the first. The connection must not be reused: the next
    # caller would get bytes that belong to no request.
    tell(fleet, 'app', AnswerMode.EXTRA, times=20)
    for number in range(10):
        body = b'mine %d' % number
        reply = fleet.call('/fetch/a', body, request_id=f'request-{number}')
        assert (reply.status, reply.body) == (200, b'answer to ' + body)


def test_response_without_a_length_ends_with_the_connection(fleet: GatewayFleet) -> None:
    tell(fleet, 'app', AnswerMode.UNFRAMED)
    reply = fleet.call('/fetch/a')
    assert (reply.status, reply.body, reply.is_whole) == (200, b'unframed', True)


def test_unknown_route_is_not_found_and_reaches_no_server(fleet: GatewayFleet) -> None:
    assert fleet.call('/other/a').status == 404
    assert runs(fleet, 'app') == 0


def test_disconnect_of_the_caller_ends_the_servers_work(fleet: GatewayFleet) -> None:
    # A caller disconnects while its request is running. The server's connection is closed at once,
    # so that its capacity is free for other requests.
    tell(fleet, 'app', AnswerMode.SILENT)
    with fleet.connection() as sock:
        gevent.spawn(exchange, sock, '/order/a', b'x')
        wait_until_seen(lambda: runs(fleet, 'app'), 'the request at a server')
    (server,) = served_by(fleet, 'app')
    wait_until_seen(lambda: server.runs[0].is_aborted, 'the end of the work')
    state = fleet.instances[0].book.state(server.server_id)  # type: ignore[arg-type]
    assert state is not None
    wait_until_seen(lambda: state.own.online == 0, 'the capacity to be free')


def test_unresponsive_server_is_abandoned_for_another_one(fleet: GatewayFleet) -> None:
    tell(fleet, 'app', AnswerMode.SILENT)
    fleet.servers['app-2'].answer_modes.clear()
    replies = [fleet.call('/fetch/a', request_id=f'request-{n}') for n in range(3)]
    assert {reply.status for reply in replies} == {200}


def test_request_without_a_response_times_out_at_its_deadline(
    fleet: GatewayFleet,
) -> None:
    tell(fleet, 'app', AnswerMode.SILENT, times=3)
    reply = fleet.call('/order/a', deadline_ms='400')
    assert reply.status == 504
    assert runs(fleet, 'app') == 1


@pytest.mark.parametrize('act', [AnswerMode.CUT_IN_EVENT, AnswerMode.STALL])
def test_stream_resumes_after_its_last_whole_event(fleet: GatewayFleet, act: AnswerMode) -> None:
    # A server fails in the middle of its third event, or stalls. The caller sees one stream with
    # each event once and the headers of the first server.
    tell(fleet, 'lm', act)
    fleet.servers['lm-2'].answer_modes.clear()
    fleet.servers['lm-1'].answer_modes.append(act)
    for number in range(3):
        reply = fleet.call('/stream/a', request_id=f'request-{number}')
        assert reply.is_whole
        expected = b''.join(b'id: %d\ndata: text %d\n\n' % (n, n) for n in range(1, 7))
        assert reply.body == expected
    assert any(b'last-event-id' in run.headers for run in fleet.servers['lm-2'].runs)


def test_stream_that_cannot_be_resumed_is_visibly_truncated(fleet: GatewayFleet) -> None:
    tell(fleet, 'lm', AnswerMode.CUT_IN_EVENT)
    reply = fleet.call('/stream-once/a')
    assert not reply.is_whole
    assert reply.body == b'id: 1\ndata: text 1\n\nid: 2\ndata: text 2\n\n'
    assert runs(fleet, 'lm') == 1


def test_caller_may_resume_a_stream(fleet: GatewayFleet) -> None:
    reply = fleet.call('/stream/a', last_event_id='4')
    assert reply.body == b'id: 5\ndata: text 5\n\nid: 6\ndata: text 6\n\n'


def test_events_are_relayed_without_delay(fleet: GatewayFleet) -> None:
    tell(fleet, 'lm', AnswerMode.HOLD)
    replies: list[Reply] = []
    with fleet.connection() as sock:
        reader = gevent.spawn(lambda: replies.append(exchange(sock, '/stream/a', b'')))
        (server,) = wait_until_seen(lambda: served_by(fleet, 'lm'), 'the request at a server')
        gevent.sleep(0.1)
        assert not replies
        server.resume_streams.set()
        reader.join(10.0)
    assert replies[0].is_whole


def test_misdirected_request_goes_to_another_server(fleet: GatewayFleet) -> None:
    # A server has exited and its address now belongs to another one, which responds 421. The
    # request goes elsewhere, and the stale entry gets no more requests.
    fleet.servers['app-1'].server_id = 'somebody-else'
    for number in range(6):
        assert fleet.call('/order/a', request_id=f'order-{number}').status == 200
    assert not fleet.servers['app-1'].runs
    assert len(fleet.servers['app-2'].runs) == 6


def test_request_with_two_lengths_is_rejected(fleet: GatewayFleet) -> None:
    with fleet.connection() as sock:
        sock.sendall(
            b'POST /fetch/a HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /order/a HTTP/1.1\r\n\r\n'
        )
        assert sock.recv(100).startswith(b'HTTP/1.1 400')
    assert runs(fleet, 'app') == 0


def test_too_large_body_is_rejected(fleet: GatewayFleet) -> None:
    assert fleet.call('/fetch/a', b'x' * 200_000).status == 413


def test_connection_serves_many_requests(fleet: GatewayFleet) -> None:
    with fleet.connection() as sock:
        for number in range(5):
            reply = exchange(sock, '/fetch/a', b'%d' % number, request_id=f'request-{number}')
            assert reply.body == b'answer to %d' % number


def test_request_at_a_replaced_incarnation_ends_at_once(fleet: GatewayFleet) -> None:
    # A server crashes while it is partitioned and restarts under the same id. The old connection
    # shows no sign of it, so the caller would wait for a response until its own timeout.
    for name in ('lm-1', 'lm-2'):
        fleet.list_server(name, 'lm', born=1_000)
    # Until the instance has seen the first incarnation it cannot tell it from the next one.
    wait_until_seen(
        lambda: [
            state
            for state in fleet.instances[0].book.states()
            if state.listed.born_epoch_ms == 1_000
        ][1:],
        'the first incarnation of both servers',
    )
    tell(fleet, 'lm', AnswerMode.SILENT)
    replies: list[Reply] = []
    with fleet.connection() as sock:
        reader = gevent.spawn(lambda: replies.append(exchange(sock, '/stream-once/a', b'')))
        (server,) = wait_until_seen(lambda: served_by(fleet, 'lm'), 'the request at a server')
        fleet.list_server(server.server_id, 'lm', born=2_000)
        reader.join(30.0)
    assert replies[0].status == 502


def test_unresponsive_server_is_avoided_before_its_caller_disconnects(fleet: GatewayFleet) -> None:
    # A stream that may not be repeated waits at an unresponsive server. Until its caller
    # disconnects, two seconds later, every second request would go there too.
    tell(fleet, 'lm', AnswerMode.SILENT)
    book = fleet.instances[0].book
    with fleet.connection() as sock:
        reader = gevent.spawn(exchange, sock, '/stream-once/a', b'')
        (server,) = wait_until_seen(lambda: served_by(fleet, 'lm'), 'the request at a server')
        state = book.state(server.server_id)
        assert state is not None
        wait_until_seen(lambda: state.failure_share(fleet.clock.now_ms()) > 0, 'a recorded failure')
        assert not reader.dead
        reader.kill()


def test_choice_of_a_server_reads_pending_load_notices(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # In a large fleet a load notice does not wake the process; the next server choice reads it.
    first, second = fleet.instances
    monkeypatch.setattr(first.peers, '_batch_window_ms', lambda: 60_000.0)
    state = first.book.state(fleet.servers['app-1'].server_id)  # type: ignore[arg-type]
    assert state is not None
    notice = LoadNotice([ServerLoad(server_digest(state.listed), 3, 0)])
    # The first notice wakes the loop once more, then the loop sleeps for a minute.
    second.peers.send(notice, [first.context.instance_id])
    wait_until_seen(lambda: state.online_count(first.clock.now_ms()) == 3, 'the first notice')
    more = LoadNotice([ServerLoad(server_digest(state.listed), 4, 0)])
    second.peers.send(more, [first.context.instance_id])

    def counted() -> bool:
        first.book.choose_server(state.listed.service, (), '')
        return state.online_count(first.clock.now_ms()) == 4

    wait_until_seen(counted, 'the second notice')
