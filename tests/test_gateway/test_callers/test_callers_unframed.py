"""Streams of servers that have neither a length nor chunks and end with their connection."""

from __future__ import annotations

from collections import deque

import gevent
import pytest

from citrondyke.standin.platform_server import AnswerMode, event_text
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.streams import events_of, is_one_text

EVENTS = 6
BROKEN = [
    AnswerMode.UNFRAMED_CUT,
    AnswerMode.UNFRAMED_CUT_IN_EVENT,
    AnswerMode.UNFRAMED_EMPTY,
]


def tell(fleet: GatewayFleet, *modes: AnswerMode) -> None:
    for name, server in fleet.servers.items():
        if name.startswith('lm'):
            server.answer_modes.extend(modes)


def runs(fleet: GatewayFleet) -> int:
    return sum(len(server.runs) for server in fleet.servers.values())


def confirmations(fleet: GatewayFleet) -> int:
    """Count the runs that were asked what follows the last event."""
    return sum(
        run.headers.get(b'last-event-id') == b'%d' % EVENTS
        for server in fleet.servers.values()
        for run in server.runs
    )


def test_stream_that_ends_with_its_connection_is_whole(fleet: GatewayFleet) -> None:
    tell(fleet, AnswerMode.UNFRAMED)
    reply = fleet.call('/stream/a')
    events = events_of(reply.body)
    assert (reply.status, reply.is_whole, len(events)) == (200, True, EVENTS)
    assert is_one_text(events)
    assert runs(fleet) - confirmations(fleet) == 1
    assert confirmations(fleet) == 1


@pytest.mark.parametrize('path', ['/stream/a', '/stream-once/a'])
def test_stream_without_a_frame_reaches_its_caller_without_one(
    fleet: GatewayFleet, path: str
) -> None:
    # Failure: a last chunk would state an end that the server has not stated.
    tell(fleet, AnswerMode.UNFRAMED)
    reply = fleet.call(path)
    assert (len(events_of(reply.body)), reply.is_whole) == (EVENTS, True)
    assert not {name.lower() for name in reply.headers} & {'transfer-encoding', 'content-length'}


@pytest.mark.parametrize('mode', BROKEN)
def test_stream_broken_off_with_its_connection_goes_on_elsewhere(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    # A server ends its stream early: by a reset, inside an event, or before the first one.
    turn = deque([mode, *[AnswerMode.UNFRAMED] * 8])
    for name in ('lm-1', 'lm-2'):
        fleet.servers[name].answer_modes = turn
    for number in range(4):
        reply = fleet.call('/stream/a', request_id=f'request-{number}')
        events = events_of(reply.body)
        assert (reply.status, reply.is_whole, len(events)) == (200, True, EVENTS)
        assert is_one_text(events)
    assert runs(fleet) - confirmations(fleet) == 5
    assert confirmations(fleet) == 4


@pytest.mark.parametrize('mode', BROKEN)
def test_broken_stream_that_must_not_go_on_does_not_look_complete(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    tell(fleet, mode)
    reply = fleet.call('/stream-once/a')
    assert reply.status != 200 or not reply.is_whole
    assert runs(fleet) == 1


def test_continued_stream_whose_server_exits_before_an_event_does_not_end(
    fleet: GatewayFleet,
) -> None:
    # The caller has two events; the next server closes its connection without any.
    fleet.servers['lm-1'].answer_modes.extend([AnswerMode.UNFRAMED_CUT, AnswerMode.UNFRAMED_EMPTY])
    fleet.servers['lm-2'].answer_modes.extend([AnswerMode.UNFRAMED_EMPTY, AnswerMode.UNFRAMED_CUT])
    for number in range(2):
        reply = fleet.call('/stream/a', request_id=f'request-{number}')
        is_all = len(events_of(reply.body)) == EVENTS
        assert is_all or reply.status != 200 or not reply.is_whole


@pytest.mark.parametrize('mode', BROKEN)
def test_item_whose_stream_is_broken_off_gets_its_whole_text(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    tell(fleet, mode, AnswerMode.UNFRAMED, mode)
    assert fleet.submit('job', 4).status == 202
    text = '\n'.join(event_text(number) for number in range(1, EVENTS + 1))
    assert [result['text'] for result in fleet.wait_done('job')] == [text] * 4


@pytest.mark.parametrize('mode', [AnswerMode.UNFRAMED, AnswerMode.UNFRAMED_THEN_CRASH])
def test_end_of_a_connection_clears_a_suspect_only_if_its_server_lives(
    fleet: GatewayFleet, mode: AnswerMode
) -> None:
    # A crashing server may close its connections in order, like one that has answered.
    prompt = 'bad0:1,aa:1'
    for server in fleet.servers.values():
        server.crash_parts.add('bad0')
    fleet.call('/fetch/a', b'first', request_id='first', prefix_hash=prompt)
    fleet.restart_ended()
    for server in fleet.servers.values():
        server.crash_parts.clear()
        server.answer_modes.append(mode)
    instance = fleet.instances[0]
    (part,) = [key for key in instance.suspects.suspects() if key.is_part]
    counted = instance.guard.exits_count(part)
    reply = fleet.call('/fetch/a', b'second', request_id='second', prefix_hash=prompt)
    assert (reply.status, reply.body) == (200, b'unframed')
    if mode is AnswerMode.UNFRAMED:
        wait_until_seen(lambda: not instance.guard.exits_count(part), 'it to be cleared')
    else:
        gevent.sleep(0.3)
        assert instance.guard.exits_count(part) == counted


@pytest.mark.parametrize('path', ['/order/a', '/fetch/a'])
def test_failure_without_a_frame_reaches_its_caller_without_one(
    fleet: GatewayFleet, path: str
) -> None:
    # Failure: a length would state that the part that came is the whole body.
    for server in fleet.servers.values():
        server.answer_modes.append(AnswerMode.UNFRAMED_FAIL)
    reply = fleet.call(path)
    assert (reply.status, reply.body, reply.is_whole) == (500, b'unframed', True)
    assert not {name.lower() for name in reply.headers} & {'transfer-encoding', 'content-length'}
