"""A request reported as "not run" has not run and never runs later."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest

from citrondyke.standin.engine_text import expected_text
from tests.support.caller import Answer
from tests.support.fleet import Fleet

CHAT = '/v1/chat/completions'


def engine_runs(fleet: Fleet) -> int:
    return sum(fleet.runs('engine-0').values())


@pytest.mark.fleet(instances=1, engines=1)
def test_rejected_and_unreachable_requests_are_not_run(fleet: Fleet) -> None:
    # A rejection by the engine and a refused connection must be reported as "not run" with a
    # retry time. An engine that closes the connection before the first byte may have run the
    # request, so this must be reported as "unknown".
    caller = fleet.caller()
    fleet.server_faults('engine-0', refuse_left=99)
    rejected = caller.chat('refused')
    assert (rejected.status, rejected.error['run']) == (503, 'not_run')
    assert rejected.error['retry_in_ms'] > 0
    assert engine_runs(fleet) == 0
    fleet.server_faults('engine-0', cut_before_answer_left=99)
    body = {'model': 'demo-model', 'messages': [{'role': 'user', 'content': 'x'}]}
    aborted: Answer | None = None
    while aborted is None or aborted.error['run'] == 'not_run':
        aborted = caller.call('POST', CHAT, body)
    assert aborted.error['run'] == 'unknown'
    fleet.program('engine-0').kill()
    unreachable = caller.chat('gone')
    assert (unreachable.status, unreachable.error['run']) == (503, 'not_run')


@pytest.mark.fleet(instances=1, engines=1)
def test_deadline_in_the_queue_is_not_run(fleet: Fleet) -> None:
    # More requests than the engine can run at once wait in the queue. Those whose deadline
    # passes there must be reported as "not run", and the engine must not have seen any of them.
    fleet.server_faults('engine-0', slow_ms=30)
    caller = fleet.caller()

    def send(n: int) -> Answer:
        return caller.call(
            'POST',
            CHAT,
            {
                'model': 'demo-model',
                'messages': [{'role': 'user', 'content': f'ask {n}'}],
                'max_tokens': 12,
            },
            {'Citrondyke-Within-Ms': '700'},
        )

    with ThreadPoolExecutor(200) as pool:
        answers = list(pool.map(send, range(200)))
    answered = [n for n, answer in enumerate(answers) if answer.status == 200]
    for n in answered:
        text = answers[n].json['choices'][0]['message']['content']
        assert text == expected_text(f'user: ask {n}', 12)
    not_run = [a for a in answers if a.status != 200 and a.error['run'] == 'not_run']
    runs = fleet.runs('engine-0')
    assert not_run
    assert {a.error['code'] for a in not_run} <= {'overloaded', 'deadline_passed'}
    assert [a for a in not_run if a.headers['X-Request-Id'] in runs] == []


@pytest.mark.fleet(instances=1, engines=1)
def test_stale_connection_is_not_reported_as_not_run(fleet: Fleet) -> None:
    # The instance holds idle connections to a service that restarts. A request sent on a
    # connection that the service has closed may have arrived. It must either succeed on a new
    # connection or be reported as "unknown", and it must never run twice.
    caller = fleet.caller()
    path = '/services/orders/place'
    assert caller.call('POST', path, {'n': 0}, {'Idempotency-Key': 'k0'}).status == 200
    fleet.program('orders-server').kill()
    fleet.start_service('orders-server', 'orders')
    for n in range(1, 6):
        answer = caller.call('POST', path, {'n': n}, {'Idempotency-Key': f'k{n}'})
        ran = fleet.runs('orders-server').get(f'k{n}', 0)
        assert ran <= 1
        if answer.status != 200 and answer.error['run'] == 'not_run':
            assert ran == 0
