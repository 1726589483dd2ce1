"""Invalid input gets a typed error and does not affect other callers."""

from __future__ import annotations

import socket
import time

import pytest

from tests.support.caller import receive_answer
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_line, chat_lines
from tests.support.waiting import wait_until

CHAT = '/v1/chat/completions'


@pytest.mark.fleet(instances=1, engines=1)
def test_bad_requests_get_specific_errors(fleet: Fleet) -> None:
    caller = fleet.caller()
    good = {'model': 'demo-model', 'messages': [{'role': 'user', 'content': 'x'}]}
    cases: list[tuple[object, dict[str, str], int, str]] = [
        (b'{"model": ', {}, 400, 'malformed_json'),
        ({**good, 'stream': 'perhaps'}, {}, 400, 'invalid_field'),
        ({'model': 'demo-model'}, {}, 400, 'invalid_field'),
        ({**good, 'n': 2}, {}, 400, 'invalid_field'),
        ({**good, 'model': 'none'}, {}, 404, 'unknown_model'),
        (good, {'Citrondyke-Class': 'none'}, 400, 'unknown_class'),
        (good, {'Citrondyke-Class': 'nightly'}, 400, 'unknown_class'),
        (good, {'Citrondyke-Within-Ms': 'soon'}, 400, 'invalid_field'),
        (good, {'Citrondyke-Repeatable': 'maybe'}, 400, 'invalid_field'),
        (good, {'Authorization': 'Bearer nobody'}, 401, 'unauthorized'),
        (b'x' * 100_001, {}, 413, 'body_too_large'),
        (good, {'Citrondyke-Within-Ms': '0'}, 504, 'deadline_passed'),
    ]
    for body, headers, status, code in cases:
        answer = caller.call('POST', CHAT, body, headers)
        assert (answer.status, answer.error['code']) == (status, code), (body, headers)
        assert answer.error['run'] == 'not_run'
    assert caller.call('POST', '/services/none/x', {}).error['code'] == 'unknown_service'
    assert caller.get('/v1/nowhere').error['code'] == 'not_found'
    assert caller.get('/v1/batches/none').error['code'] == 'not_found'
    assert caller.chat('still here').status == 200
    assert len(fleet.runs('engine-0')) == 1


@pytest.mark.fleet(instances=1, engines=1)
def test_bad_line_is_numbered_and_nothing_is_accepted(fleet: Fleet) -> None:
    caller = fleet.caller()
    bad_lines = {
        b'{"custom_id": \n': 'not JSON',
        b'{"custom_id": "a", "url": "/v1/other", "body": {}}\n': 'url',
        b'{"custom_id": "a", "url": "/v1/completions", "body": {}}\n': 'model',
        chat_line('item-0', 'twice'): 'used before',
    }
    for line, reason in bad_lines.items():
        answer = caller.upload(chat_lines(120) + line + chat_lines(3, name='rest'))
        assert (answer.status, answer.error['code']) == (400, 'bad_job_line')
        assert answer.error['message'].startswith('line 121: ')
        assert reason in answer.error['message']
    assert caller.upload(b'\n\n').error['code'] == 'bad_job_line'
    assert caller.get('/v1/files').json['data'] == []


@pytest.mark.fleet(instances=1, engines=1)
def test_slow_sender_gets_timeout_and_others_are_served(fleet: Fleet) -> None:
    # A caller announces a body and sends only a part of it. It must get an error after the body
    # timeout, and other callers must be served meanwhile.
    port = fleet.port('instance-0')
    with socket.create_connection(('127.0.0.1', port)) as slow:
        slow.sendall(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n'
            b'Authorization: Bearer demo-tenant-key\r\n\r\n{"model"'
        )
        assert fleet.caller().chat('beside').status == 200
        slow.settimeout(30)
        answer = receive_answer(slow)
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert b'"slow_sender"' in answer


@pytest.mark.fleet(instances=1, engines=1)
def test_too_many_connections_are_rejected_at_once(fleet: Fleet) -> None:
    port = fleet.port('instance-0')
    idle = [socket.create_connection(('127.0.0.1', port)) for _ in range(400)]
    try:
        time.sleep(0.2)
        with socket.create_connection(('127.0.0.1', port)) as extra:
            extra.settimeout(30)
            answer = receive_answer(extra)
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'"too_many_connections"' in answer
    finally:
        for each in idle:
            each.close()

    def is_ready() -> bool:
        answer = fleet.caller().try_call('GET', '/health/ready')
        return answer is not None and answer.status == 200

    wait_until(is_ready, 'connections to be free again')
