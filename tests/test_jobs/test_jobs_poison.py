"""Items that can never complete fail, and the rest of their job completes."""

from __future__ import annotations

import pytest

from tests.support.fleet import Fleet
from tests.support.job_lines import chat_line, chat_lines, service_lines
from tests.support.waiting import wait_until

CHAT = '/v1/chat/completions'


@pytest.mark.fleet(instances=2, engines=2)
def test_items_that_crash_servers_exhaust_their_attempts(fleet: Fleet) -> None:
    # Two items crash any engine that runs them. Each fails with its own code after its attempts;
    # the items that ran beside them are interrupted repeatedly, and all of them are answered.
    lines = chat_lines(150)
    lines += chat_line('killer-0', 'stop [[crash]] 0') + chat_line('killer-1', 'stop [[crash]] 1')
    caller = fleet.caller()
    job_id = fleet.submit(caller, lines + chat_lines(150, name='rest'), CHAT)
    job = fleet.wait_final(caller, job_id)
    outcomes = fleet.outcomes(caller, job)
    assert len(outcomes) == 302
    failed = {name: line['error']['code'] for name, line in outcomes.items() if line['error']}
    assert failed == {'killer-0': 'attempts_exhausted', 'killer-1': 'attempts_exhausted'}


@pytest.mark.fleet(instances=2, engines=2)
def test_engine_that_exits_on_an_item_comes_back(fleet: Fleet) -> None:
    # An item terminates the engine's process, which the platform starts again. The item exhausts
    # its attempts on both engines, and all other items are answered in the end.
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine, crash_exits=True)
    caller = fleet.caller()
    lines = chat_lines(60) + chat_line('killer', 'stop [[crash]]') + chat_lines(60, name='rest')
    job_id = fleet.submit(caller, lines, CHAT)

    def look() -> bool:
        for engine in ('engine-0', 'engine-1'):
            if not fleet.program(engine).is_running:
                fleet.start_engine(engine)
                # The item can reach the engine and terminate it before this call is answered.
                fleet.server(engine).try_call('PUT', '/control/faults', {'crash_exits': True})
        return bool(caller.get(f'/v1/batches/{job_id}').json['citrondyke']['is_final'])

    wait_until(look, 'the job to end', 120.0)
    job = fleet.wait_final(caller, job_id)
    outcomes = fleet.outcomes(caller, job)
    assert len(outcomes) == 121
    assert [name for name, line in outcomes.items() if line['error']] == ['killer']


@pytest.mark.fleet(instances=1, engines=0)
def test_service_rejection_is_reported_with_its_answer(fleet: Fleet) -> None:
    # The service answers some orders of a job with 503. It may have run them, so they are not sent
    # again, and their outcomes contain the service's answer.
    fleet.server_faults('orders-server', refuse_left=4)
    caller = fleet.caller()
    job_id = fleet.submit(caller, service_lines(60), '/services/orders/place')
    job = fleet.wait_final(caller, job_id)
    outcomes = fleet.outcomes(caller, job)
    failed = [line for line in outcomes.values() if line['error']]
    assert len(failed) == 4
    assert {line['response']['status_code'] for line in failed} == {503}
    assert {line['error']['run'] for line in failed} == {'unknown'}
    assert max(fleet.runs('orders-server').values()) == 1
