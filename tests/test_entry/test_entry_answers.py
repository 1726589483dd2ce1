"""Each caller gets the complete response to its own request, or a typed error."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from citrondyke.standin.engine_text import expected_text
from tests.support.caller import Answer, Caller
from tests.support.fleet import Fleet
from tests.support.waiting import wait_until

DONE = b'data: [DONE]\n\n'


def stream_text(answer: Answer) -> str:
    """Join the tokens of a streamed response."""
    frames = [frame[6:] for frame in answer.body.split(b'\n\n') if frame.startswith(b'data: {')]
    choices = [msgspec.json.decode(frame)['choices'][0] for frame in frames]
    return ''.join(choice['delta'].get('content', '') for choice in choices)


@pytest.mark.fleet(instances=1, engines=2)
def test_interrupted_streams_resume_seamlessly(fleet: Fleet) -> None:
    # Engines abort each stream after a few tokens. The instance must resume it after the last
    # complete token, on either engine, so that the caller gets the same text as without aborts.
    caller = fleet.caller()
    for cut_after in (0, 1, 5):
        for engine in ('engine-0', 'engine-1'):
            fleet.server_faults(engine, cut_streams_left=1, cut_after_tokens=cut_after)
        answer = caller.chat(f'cut {cut_after}', 12, stream=True)
        assert answer.body.endswith(DONE)
        assert stream_text(answer) == expected_text(f'user: cut {cut_after}', 12)
        plain = caller.chat(f'plain {cut_after}', 12)
        whole = plain.json['choices'][0]['message']['content']
        assert whole == expected_text(f'user: plain {cut_after}', 12)


@pytest.mark.fleet(instances=1, engines=1)
def test_stream_that_cannot_resume_ends_with_an_error(fleet: Fleet) -> None:
    # The only engine aborts the stream every time. The partial response must end with a typed
    # error and without the closing event, or a client would take it for complete.
    fleet.server_faults('engine-0', cut_streams_left=9, cut_after_tokens=3)
    answer = fleet.caller().chat('doomed', 12, stream=True)
    assert answer.status == 200
    assert not answer.body.endswith(DONE)
    last = answer.body.strip().rsplit(b'\n\n', 1)[1]
    error = msgspec.json.decode(last[6:])['error']
    assert (error['code'], error['run']) == ('stream_broken', 'unknown')


@pytest.mark.fleet(instances=1, engines=2)
def test_reused_connections_never_mix_answers(fleet: Fleet) -> None:
    # Callers abandon streams while others use the same connections to the engines. If such a
    # connection were reused, the rest of the abandoned response would reach another caller.
    port = fleet.port('instance-0')

    def send(n: int) -> bool:
        caller = Caller(port, 'demo-tenant-key')
        if n % 3 == 0:
            caller.try_call(
                'POST',
                '/v1/chat/completions',
                {
                    'model': 'demo-model',
                    'messages': [{'role': 'user', 'content': f'gone {n}'}],
                    'max_tokens': 40,
                    'stream': True,
                },
                {'Citrondyke-Within-Ms': '30'},
            )
            return True
        answer = caller.chat(f'ask {n}', 6, stream=n % 2 == 0)
        text = (
            stream_text(answer) if n % 2 == 0 else answer.json['choices'][0]['message']['content']
        )
        return text == expected_text(f'user: ask {n}', 6)

    with ThreadPoolExecutor(24) as pool:
        assert all(pool.map(send, range(240)))


@pytest.mark.fleet(instances=1, engines=2)
def test_engine_crash_fails_no_repeatable_request(fleet: Fleet) -> None:
    # One engine is killed while streams run on it. Repeatable requests resume on the other one.
    caller = fleet.caller()
    fleet.server_faults('engine-0', slow_ms=20)
    fleet.server_faults('engine-1', slow_ms=20)
    with ThreadPoolExecutor(16) as pool:
        answers = [pool.submit(caller.chat, f'ask {n}', 20, stream=True) for n in range(16)]
        wait_until(
            lambda: len(fleet.server('engine-0').get('/control/running').json) > 2, 'streams'
        )
        fleet.program('engine-0').kill()
        for n, future in enumerate(answers):
            assert stream_text(future.result()) == expected_text(f'user: ask {n}', 20)


@pytest.mark.fleet(instances=1, engines=0, services=())
def test_connect_timeout_does_not_limit_the_response(fleet: Fleet) -> None:
    # A service responds more slowly than the connect timeout. If that timeout stayed set on the
    # connection, it would abort the response and the caller would get the run state "unknown".
    fleet.start_service('lookup-server', 'lookup', run_ms=1500)
    caller = fleet.caller()
    wait_until(lambda: caller.call('POST', '/services/lookup/x', {}).status == 200, 'an answer')
    assert caller.call('POST', '/services/lookup/x', {'n': 2}).status == 200
    late = caller.call('POST', '/services/lookup/x', {'n': 3}, {'Citrondyke-Within-Ms': '300'})
    assert (late.status, late.error['code'], late.error['run']) == (
        504,
        'deadline_passed',
        'unknown',
    )
