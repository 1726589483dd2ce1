"""A message that crashes the engines does not take them down again and again."""

from __future__ import annotations

import pytest

from tests.support.caller import Answer, Caller
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_line

ENGINES = ('engine-0', 'engine-1', 'engine-2')
#: Crashes that may be needed to find the message, and sends of it after that.
ENOUGH = 3
MORE = 3


def ask(caller: Caller, *messages: str) -> Answer:
    """Send a chat whose first message is the system's."""
    roles = ['system'] + ['user'] * (len(messages) - 1)
    chat = [
        {'role': role, 'content': content} for role, content in zip(roles, messages, strict=True)
    ]
    return caller.chat('', messages=chat)


def crashes(fleet: Fleet) -> int:
    return sum(fleet.server(name).get('/control/crashes').json for name in ENGINES)


@pytest.mark.fleet(instances=2, engines=3)
def test_message_that_crashes_engines_is_stopped(fleet: Fleet) -> None:
    # Conversations differ, but share a message. Sound ones share the system message with them.
    callers = [fleet.caller('instance-0'), fleet.caller('instance-1')]
    for number in range(10):
        caller = callers[number % 2]
        assert ask(caller, 'be short', f'sound {number}').status == 200
        assert ask(caller, 'be short', 'stop [[crash]]', f'harmful {number}').status == 502
    assert crashes(fleet) <= ENOUGH + MORE
    before = crashes(fleet)
    for caller in callers:
        stopped = ask(caller, 'be short', 'stop [[crash]]', 'last')
        assert (stopped.status, stopped.error['code']) == (502, 'request_blocked')
        assert 'retry-after' not in stopped.headers
        assert ask(caller, 'be short', 'sound').status == 200
    assert crashes(fleet) == before


@pytest.mark.fleet(instances=2, engines=3)
def test_items_with_a_message_that_crashes_engines_fail_and_the_others_do_not(
    fleet: Fleet,
) -> None:
    # Items differ, but some share a message. With a limit of attempts for each item they would
    # crash the engines 30 times in each job. Those of the first job may be under way at once.
    caller = fleet.caller()
    harmful = range(10, 200, 20)
    for job, crashes_limit in (('first', len(harmful)), ('second', MORE)):
        before = crashes(fleet)
        lines = []
        for number in range(200):
            shared = ['be short', 'stop [[crash]]'] if number in harmful else ['be short']
            lines.append(chat_line(f'item-{number}', f'{job} {number}', before=shared))
        job_id = fleet.submit(caller, b''.join(lines), '/v1/chat/completions')
        outcomes = fleet.outcomes(caller, fleet.wait_final(caller, job_id))
        failed = {name for name, line in outcomes.items() if line['error']}
        assert failed == {f'item-{number}' for number in harmful}
        codes = {outcomes[name]['error']['code'] for name in failed}
        assert codes <= {'request_blocked', 'attempts_exhausted'}
        assert crashes(fleet) - before <= crashes_limit
