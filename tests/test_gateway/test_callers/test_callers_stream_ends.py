"""A stream ends as complete only where its server's end is that of the stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack

import gevent
import pytest

from citrondyke.decisions.streams.stream_end import EndVerdict
from citrondyke.standin.endless_reply import EndlessPart
from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import ROUTES, GatewayFleet, Reply, exchange, wait_until_seen
from tests.support.streams import BegunStream, events_of, is_one_text

EVENTS = 6
SERVERS = ('lm-1', 'lm-2', 'lm-3')
#: How a run that goes on may end without an event that follows.
EVENTLESS = [
    AnswerMode.RESUME_EMPTY_CHUNKED,
    AnswerMode.RESUME_EMPTY_LENGTH,
    AnswerMode.RESUME_EMPTY_204,
    AnswerMode.RESUME_EMPTY_205,
    AnswerMode.OTHER_CONTENT,
    AnswerMode.RESUME_EMPTY_COMMENT,
    AnswerMode.EVENT_WITHOUT_ID,
    AnswerMode.UNFRAMED_EMPTY,
    AnswerMode.RESUME_EMPTY_UNFRAMED,
    AnswerMode.RESUME_ANEW,
]


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    """Two instances, and three servers of streams."""
    made = GatewayFleet()
    try:
        made.configure()
        for name in SERVERS:
            made.add_server(name, 'lm')
        for _ in range(2):
            made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


def answer_in_turn(fleet: GatewayFleet, *modes: AnswerMode) -> None:
    """Have the runs of one request answered in turn, whichever servers have them."""
    turn = deque(modes)
    for server in fleet.servers.values():
        server.answer_modes = turn


def limit_attempts(fleet: GatewayFleet, attempts: int) -> None:
    routes = [{**each, 'max_attempts': attempts} for each in ROUTES]
    fleet.configure(version=2, routes=routes)
    fleet.wait_version(2)


def asked_after(fleet: GatewayFleet) -> list[bytes | None]:
    """Give the event after which each run was asked to go on, in the order of the runs."""
    runs = sorted(
        (run for server in fleet.servers.values() for run in server.runs),
        key=lambda run: run.began_s,
    )
    return [run.headers.get(b'last-event-id') for run in runs]


def is_all(reply: Reply) -> bool:
    events = events_of(reply.body)
    return reply.is_whole and len(events) == EVENTS and is_one_text(events)


def counter(fleet: GatewayFleet, name: str) -> int:
    return fleet.instances[0].metrics.counters[name]


@pytest.mark.parametrize('mode', EVENTLESS)
def test_run_that_goes_on_without_an_event_does_not_end_its_stream(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    answer_in_turn(fleet, AnswerMode.CUT_BETWEEN_EVENTS, mode)
    reply = fleet.call('/stream/a')
    assert reply.status == 200
    assert is_all(reply)
    assert asked_after(fleet) == [None, b'2', b'2']
    assert b'odd' not in reply.body
    assert not counter(fleet, 'requests_failed_internally')


@pytest.mark.parametrize('mode', EVENTLESS)
def test_stream_whose_end_nobody_confirms_is_broken_off(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    limit_attempts(fleet, 2)
    answer_in_turn(fleet, AnswerMode.CUT_BETWEEN_EVENTS, mode, AnswerMode.CUT, AnswerMode.CUT)
    reply = fleet.call('/stream/a')
    assert not reply.is_whole
    assert len(events_of(reply.body)) == 2
    assert len(asked_after(fleet)) <= 3


@pytest.mark.parametrize('mode', [*EVENTLESS, AnswerMode.CUT])
def test_caller_that_resumes_gets_no_empty_success(fleet: GatewayFleet, mode: AnswerMode) -> None:
    limit_attempts(fleet, 2)
    answer_in_turn(fleet, mode, AnswerMode.CUT, AnswerMode.CUT)
    reply = fleet.call('/stream/a', last_event_id='2')
    assert not reply.is_whole or reply.status == 502
    assert 'Retry-After' not in reply.headers


@pytest.mark.parametrize('attempts', [2, 3])
@pytest.mark.parametrize('count', [2, 3])
def test_stream_whose_last_chunk_alone_is_missing_is_whole(
    fleet: GatewayFleet, attempts: int, count: int
) -> None:
    # Another server states that nothing follows, and a third one or the first one agrees.
    limit_attempts(fleet, attempts)
    if count == 2:
        drop(fleet, 'lm-3')
    answer_in_turn(fleet, AnswerMode.LAST_CHUNK_MISSING)
    assert is_all(fleet.call('/stream/a'))
    assert asked_after(fleet) == [None, b'6', b'6']
    is_third = attempts == count == 3
    assert sum(len(server.runs) > 1 for server in fleet.servers.values()) == (not is_third)


def drop(fleet: GatewayFleet, name: str) -> None:
    fleet.store.remove('servers', name)
    fleet.servers.pop(name).stop()
    fleet.wait_ready()


def test_crash_after_the_last_event_breaks_the_stream_off(fleet: GatewayFleet) -> None:
    # The server that would confirm the end is gone, and two attempts allow no third one.
    limit_attempts(fleet, 2)
    for server in fleet.servers.values():
        server.events_count, server.event_gap_ms = 2, 300.0
    with ExitStack() as stack:
        begun = BegunStream(fleet, 'request-1')
        stack.callback(begun.close)
        (first,) = [server for server in fleet.servers.values() if server.runs]
        first.crash()
        begun.read_rest()
    assert begun.is_broken_off


def test_caller_that_resumes_after_the_last_event_gets_an_agreed_end(fleet: GatewayFleet) -> None:
    reply = fleet.call('/stream/a', last_event_id='6')
    assert (reply.status, reply.body, reply.is_whole) == (200, b'', True)
    assert asked_after(fleet) == [b'6', b'6']


def test_sound_stream_in_chunks_costs_one_run(fleet: GatewayFleet) -> None:
    assert is_all(fleet.call('/stream/a'))
    assert len(asked_after(fleet)) == 1
    assert counter(fleet, f'stream_ends_{EndVerdict.COMPLETE_BY_FRAMING.value}') == 1


def test_refuted_end_is_counted(fleet: GatewayFleet) -> None:
    answer_in_turn(fleet, AnswerMode.CUT_BETWEEN_EVENTS, AnswerMode.RESUME_EMPTY_CHUNKED)
    assert is_all(fleet.call('/stream/a'))
    assert counter(fleet, 'stream_ends_refuted') == 1
    assert counter(fleet, 'stream_ends_without_event') == 1
    assert counter(fleet, 'stream_ends_unconfirmed') == 1


@pytest.mark.parametrize('mode', [AnswerMode.RESUME_EMPTY_204, AnswerMode.RESUME_EMPTY_205])
@pytest.mark.parametrize('path', ['/stream/a', '/stream-once/a'])
def test_first_answer_without_a_body_is_relayed_whole(
    fleet: GatewayFleet, mode: AnswerMode, path: str
) -> None:
    for server in fleet.servers.values():
        server.more_headers = [(b'content-type', b'text/event-stream')]
    answer_in_turn(fleet, mode)
    reply = fleet.call(path)
    assert (reply.status, reply.is_whole) == (
        204 if mode is AnswerMode.RESUME_EMPTY_204 else 205,
        True,
    )
    assert 'transfer-encoding' not in {name.lower() for name in reply.headers}
    assert len(asked_after(fleet)) == 1


def test_event_without_an_id_does_not_begin_a_stream_that_may_be_resumed(
    fleet: GatewayFleet,
) -> None:
    answer_in_turn(fleet, AnswerMode.EVENT_WITHOUT_ID)
    assert is_all(fleet.call('/stream/a'))
    answer_in_turn(fleet, AnswerMode.EVENT_WITHOUT_ID)
    assert fleet.call('/stream-once/a', request_id='plain').body == b'data: odd\n\n'


def test_unframed_end_between_events_is_asked_about(fleet: GatewayFleet) -> None:
    answer_in_turn(fleet, AnswerMode.UNFRAMED_BETWEEN_EVENTS)
    assert is_all(fleet.call('/stream/a'))
    assert asked_after(fleet) == [None, b'2']


def test_unframed_run_that_goes_on_does_not_end_a_stream_in_chunks(fleet: GatewayFleet) -> None:
    answer_in_turn(fleet, AnswerMode.CUT_BETWEEN_EVENTS, AnswerMode.UNFRAMED_BETWEEN_EVENTS)
    assert is_all(fleet.call('/stream/a'))
    assert asked_after(fleet) == [None, b'2', b'4']


def test_exit_and_the_word_of_one_faulty_server_end_no_stream_in_chunks(
    fleet: GatewayFleet,
) -> None:
    # An end by the connection counted like the word of a server that was asked what follows.
    answer_in_turn(
        fleet,
        AnswerMode.CUT_BETWEEN_EVENTS,
        AnswerMode.UNFRAMED_BETWEEN_EVENTS,
        AnswerMode.RESUME_EMPTY_CHUNKED,
    )
    assert is_all(fleet.call('/stream/a'))


def test_unframed_run_that_nobody_confirms_breaks_a_stream_in_chunks_off(
    fleet: GatewayFleet,
) -> None:
    limit_attempts(fleet, 2)
    answer_in_turn(
        fleet,
        AnswerMode.CUT_BETWEEN_EVENTS,
        AnswerMode.UNFRAMED_BETWEEN_EVENTS,
        *[AnswerMode.CUT] * 4,
    )
    reply = fleet.call('/stream/a')
    assert not reply.is_whole
    assert len(events_of(reply.body)) == 4


@pytest.mark.parametrize('path', ['/stream/a', '/stream-once/a'])
def test_server_that_never_frames_streams_serves_them_whole(fleet: GatewayFleet, path: str) -> None:
    for server in fleet.servers.values():
        server.answer_modes.extend([AnswerMode.UNFRAMED] * 100)
    for number in range(8):
        reply = fleet.call(path, request_id=f'request-{number}')
        assert is_all(reply)
        names = {name.lower() for name in reply.headers}
        assert not names & {'transfer-encoding', 'content-length'}
    assert len(asked_after(fleet)) == (16 if path == '/stream/a' else 8)
    for state in fleet.instances[0].book.states():
        assert not state.failures_count


@pytest.mark.parametrize('confirming', [AnswerMode.SERVE, AnswerMode.CUT])
def test_unframed_stream_of_the_only_server_ends_in_order(
    fleet: GatewayFleet, confirming: AnswerMode
) -> None:
    drop(fleet, 'lm-2')
    drop(fleet, 'lm-3')
    answer_in_turn(fleet, AnswerMode.UNFRAMED, confirming)
    reply = fleet.call('/stream/a')
    assert is_all(reply)
    assert asked_after(fleet) == [None, b'%d' % EVENTS]
    assert counter(fleet, 'stream_ends_given_up') == (confirming is AnswerMode.CUT)


@pytest.mark.parametrize('attempts', [1, 2])
def test_caller_that_resumes_at_the_end_gets_it_from_the_only_server_that_may_be_asked(
    fleet: GatewayFleet, attempts: int
) -> None:
    # Failure: each attempt of the caller is answered 502, so that its stream never ends.
    limit_attempts(fleet, attempts)
    if attempts > 1:
        drop(fleet, 'lm-2')
        drop(fleet, 'lm-3')
    reply = fleet.call('/stream/a', last_event_id='6')
    assert (reply.status, reply.is_whole, events_of(reply.body)) == (200, True, [])
    assert asked_after(fleet) == [b'6'] * 3


def test_deadline_ends_the_wait_for_a_confirmation(fleet: GatewayFleet) -> None:
    # The deadline leaves the first answer time on a busy machine.
    answer_in_turn(fleet, AnswerMode.RESUME_EMPTY_CHUNKED, *[AnswerMode.SILENT] * 3)
    reply = fleet.call('/stream/a', last_event_id='2', deadline_ms='2000')
    assert reply.status == 502
    silent = [AnswerMode.SILENT] * 2
    answer_in_turn(fleet, AnswerMode.CUT_BETWEEN_EVENTS, AnswerMode.RESUME_EMPTY_CHUNKED, *silent)
    reply = fleet.call('/stream/a', request_id='begun', deadline_ms='2000')
    assert not reply.is_whole


@pytest.mark.parametrize('mode', [AnswerMode.SILENT, AnswerMode.ENDLESS])
def test_silence_of_the_last_server_leaves_time_to_ask_the_first_one_again(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    # Failure: the last server is waited for until the deadline, before or after its head.
    routes = [{**each, 'timeout_ms': 30_000} for each in ROUTES]
    fleet.configure(version=2, routes=routes)
    fleet.wait_version(2)
    for server in fleet.servers.values():
        server.endless_part, server.endless_gap_ms = EndlessPart.COMMENTS, 10_000.0
    answer_in_turn(fleet, AnswerMode.LAST_CHUNK_MISSING, AnswerMode.RESUME_EMPTY_CHUNKED, mode)
    assert is_all(fleet.call('/stream/a'))
    assert asked_after(fleet) == [None, b'6', b'6', b'6']


def test_stop_in_a_run_that_refutes_an_end_breaks_the_stream_off(fleet: GatewayFleet) -> None:
    # Failure: the earlier end would be passed on in the middle of the run that goes on.
    answer_in_turn(fleet, AnswerMode.UNFRAMED_BETWEEN_EVENTS, AnswerMode.HOLD)
    replies: list[Reply] = []
    with fleet.connection() as sock:
        reader = gevent.spawn(lambda: replies.append(exchange(sock, '/stream/a', b'')))
        wait_until_seen(lambda: len(asked_after(fleet)) == 2, 'the run that goes on')
        gevent.sleep(0.1)
        fleet.instances[0].frontend.end_requests()
        reader.join(10.0)
    assert len(events_of(replies[0].body)) == 4
    assert not replies[0].is_whole


def test_end_is_confirmed_by_a_server_of_the_same_version(fleet: GatewayFleet) -> None:
    # Failure: servers of another version write other events, whose number proves nothing.
    for name, version in (('lm-4', 'v1'), ('lm-5', 'v1'), ('lm-6', 'v2'), ('lm-7', 'v2')):
        fleet.add_server(name, 'lm', version)
    for name in SERVERS:
        drop(fleet, name)
    for number in range(6):
        answer_in_turn(fleet, AnswerMode.LAST_CHUNK_MISSING)
        request_id = f'request-{number}'
        assert is_all(fleet.call('/stream/a', request_id=request_id))
        versions = [
            server.software_version
            for server in fleet.servers.values()
            for run in server.runs
            if run.request_id == request_id
        ]
        assert len(versions) == 3
        assert len(set(versions)) == 1
