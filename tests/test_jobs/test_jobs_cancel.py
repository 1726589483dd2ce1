"""Cancellation of jobs, and idempotent resends of them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines
from tests.support.waiting import wait_until

CHAT = '/v1/chat/completions'


@pytest.mark.fleet(instances=3, engines=2)
def test_cancel_stops_streams_everywhere(fleet: Fleet) -> None:
    # The caller cancels at one instance while others run streams of the job on the engines. All
    # streams are aborted, visible outcomes stay unchanged, and all other items end as cancelled.
    # Nothing is left running, and no outcome appears after the end.
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine, slow_ms=40)
    caller = fleet.caller('instance-1')
    job_id = fleet.submit(fleet.caller(), chat_lines(400, tokens=60), CHAT)
    running = [fleet.server(engine) for engine in ('engine-0', 'engine-1')]
    wait_until(
        lambda: any(engine.get('/control/running').json for engine in running), 'streams to run'
    )
    assert caller.call('POST', f'/v1/batches/{job_id}/cancel').status == 200
    wait_until(
        lambda: not any(engine.get('/control/running').json for engine in running),
        'all streams to be cut',
    )
    job = fleet.wait_final(caller, job_id)
    assert job['status'] == 'cancelled'
    outcomes = fleet.outcomes(caller, job)
    assert len(outcomes) == 400
    codes = {line['error']['code'] for line in outcomes.values() if line['error']}
    assert codes == {'batch_cancelled'}
    counts = job['request_counts']
    assert counts['completed'] + counts['failed'] == 400
    assert fleet.outcomes(fleet.caller('instance-2'), job) == outcomes
    again = caller.call('POST', f'/v1/batches/{job_id}/cancel').json
    assert again['status'] == 'cancelled'


@pytest.mark.fleet(instances=3, engines=1)
def test_resends_at_once_on_all_instances_are_one_job(fleet: Fleet) -> None:
    # The same file and request are sent to three instances at the same moment, several times each.
    # All answers name the same job, and each of its items has one outcome.
    callers = [fleet.caller(f'instance-{n}') for n in range(3)]
    lines = chat_lines(80)
    with ThreadPoolExecutor(12) as pool:
        files = list(pool.map(lambda n: callers[n % 3].upload(lines).json['id'], range(6)))
        assert len(set(files)) == 1
        answers = list(pool.map(lambda n: fleet.create(callers[n % 3], files[0], CHAT), range(12)))
    assert {answer.status for answer in answers} == {200}
    assert len({answer.json['id'] for answer in answers}) == 1
    job = fleet.wait_final(callers[0], answers[0].json['id'])
    assert len(fleet.outcomes(callers[0], job)) == 80
    assert [each['id'] for each in callers[1].get('/v1/batches').json['data']] == [job['id']]


@pytest.mark.fleet(instances=2, engines=1)
def test_same_key_with_other_content_is_a_conflict(fleet: Fleet) -> None:
    first, second = fleet.caller('instance-0'), fleet.caller('instance-1')
    job_id = fleet.submit(first, chat_lines(10), CHAT, key='routes')
    assert fleet.submit(second, chat_lines(10), CHAT, key='routes') == job_id
    other = second.upload(chat_lines(11)).json['id']
    answer = fleet.create(second, other, CHAT, key='routes')
    assert (answer.status, answer.error['code']) == (409, 'idempotency_conflict')
    foreign = fleet.caller(key='other-tenant-key')
    assert foreign.get(f'/v1/batches/{job_id}').status == 404
    fleet.fault('table', 'down')
    refused = fleet.create(first, other, CHAT)
    assert (refused.status, refused.error['run']) == (503, 'not_run')
    assert int(refused.headers['Retry-After']) >= 1
