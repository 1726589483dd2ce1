"""Tests that a caller gets its answer whatever a server's hold where a number is expected."""

from __future__ import annotations

import pytest

from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet
from tests.support.streams import events_of, is_one_text

TOO_LARGE = ('9' * 400, '9' * 4_301, '0' * 4_301, str(2**63))


@pytest.mark.parametrize('seconds', [*TOO_LARGE, '-1', '1.5', 'nan', '\u00b2', ''])
def test_answer_with_an_odd_keep_alive_is_relayed(fleet: GatewayFleet, seconds: str) -> None:
    # A timeout that can't be converted cut the whole answer of a server at the caller.
    for server in fleet.servers.values():
        server.more_headers = [(b'keep-alive', f'timeout={seconds}, max=100'.encode())]
    for number in range(4):
        for path in ('/fetch/x', '/order/x', '/stream/x'):
            reply = fleet.call(path, request_id=f'{path}-{number}')
            assert (reply.status, reply.is_whole) == (200, True)
    assert fleet.submit('job-1').status == 202
    assert {each['state'] for each in fleet.wait_done('job-1')} == {'completed'}


@pytest.mark.parametrize('event_id', TOO_LARGE)
def test_stream_goes_on_elsewhere_after_an_odd_event_id(fleet: GatewayFleet, event_id: str) -> None:
    # An id that can't be converted cut the caller's stream, though another server could go on.
    odd = fleet.servers['lm-1']
    odd.odd_event_id = event_id.encode()
    odd.answer_modes.extend([AnswerMode.ODD_EVENT_ID] * 3)
    for number in range(8):
        reply = fleet.call('/stream/x', b'', request_id=f'request-{number}')
        assert (reply.status, reply.is_whole) == (200, True)
        events = events_of(reply.body)
        assert len(events) == odd.events_count
        assert is_one_text(events)
    assert len(odd.answer_modes) < 3


@pytest.mark.parametrize('event_id', TOO_LARGE)
def test_item_goes_on_elsewhere_after_an_odd_event_id(fleet: GatewayFleet, event_id: str) -> None:
    odd = fleet.servers['lm-1']
    odd.odd_event_id = event_id.encode()
    odd.answer_modes.extend([AnswerMode.ODD_EVENT_ID] * 3)
    assert fleet.submit('job-1', 6).status == 202
    results = fleet.wait_done('job-1')
    text = '\n'.join(f'text {number}' for number in range(1, odd.events_count + 1))
    assert {(each['state'], each['text']) for each in results} == {('completed', text)}
