"""Every accepted item has exactly one visible outcome despite crashes and outages."""

from __future__ import annotations

import time

import pytest

from citrondyke.standin.engine_text import expected_text
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines
from tests.support.waiting import wait_until

CHAT = '/v1/chat/completions'


def check_all_answered(fleet: Fleet, caller_name: str, job_id: str, count: int) -> None:
    """Wait for the end of a job and check that each item has one complete answer."""
    caller = fleet.caller(caller_name)
    job = fleet.wait_final(caller, job_id)
    outcomes = fleet.outcomes(caller, job)
    assert job['request_counts'] == {'total': count, 'completed': count, 'failed': 0}
    assert set(outcomes) == {f'item-{n}' for n in range(count)}
    for n in range(count):
        body = outcomes[f'item-{n}']['response']['body']
        assert body['choices'][0]['message']['content'] == expected_text(f'user: item {n}', 8)


@pytest.mark.fleet(instances=3, engines=2)
def test_killed_holders_lose_and_duplicate_nothing(fleet: Fleet) -> None:
    # Two instances are killed one after the other while they hold segments; the engines are slow
    # enough for that. A third takes over the segments once the leases have expired, and
    # half-written parts stay invisible. The caller sees every item answered once.
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine, slow_ms=20)
    job_id = fleet.submit(fleet.caller(), chat_lines(600), CHAT)
    caller = fleet.caller('instance-2')
    for victim in ('instance-0', 'instance-1'):
        wait_until(
            lambda: caller.get(f'/v1/batches/{job_id}').json['request_counts']['completed'] > 60,
            'part of the job to be visible',
        )
        fleet.program(victim).kill()
    check_all_answered(fleet, 'instance-2', job_id, 600)


@pytest.mark.fleet(instances=2, engines=2)
def test_frozen_holder_commits_nothing_after_its_lease(fleet: Fleet) -> None:
    # An instance freezes while it holds segments, and its lease expires; the other instance takes
    # over and finishes the job. The first one resumes with answers in memory and tries to commit
    # them: its fence is old, so nothing of them becomes visible and no outcome changes.
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine, slow_ms=20)
    job_id = fleet.submit(fleet.caller(), chat_lines(400), CHAT)
    caller = fleet.caller('instance-1')

    def held() -> bool:
        status = fleet.operator('instance-0').get('/operator/v1/status').json
        return bool(status['held_segments'])

    wait_until(held, 'the first instance to hold segments')
    fleet.program('instance-0').freeze()
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine)
    job = fleet.wait_final(caller, job_id)
    before = fleet.outcomes(caller, job)
    fleet.program('instance-0').wake()
    fleet.wait_ready('instance-0')
    time.sleep(1.5)
    after = fleet.outcomes(fleet.caller('instance-0'), job)
    assert after == before
    check_all_answered(fleet, 'instance-0', job_id, 400)


@pytest.mark.fleet(instances=2, engines=2)
def test_lost_replies_duplicate_nothing(fleet: Fleet) -> None:
    # All replies of the table service are lost for some time while the writes take effect: at the
    # job's acceptance, then at claims and commits. Writers recognize their own write ids.
    caller = fleet.caller()
    file_id = caller.upload(chat_lines(300)).json['id']
    fleet.fault('table', 'lost_reply', calls_left=3)
    answer = fleet.create(caller, file_id, CHAT)
    assert answer.status in (200, 503)
    if answer.status == 503 and answer.error['run'] == 'not_run':
        wait_until(lambda: caller.get('/v1/batches').status == 200, 'replies to arrive again')
        assert caller.get('/v1/batches').json['data'] == []
    again = fleet.create(caller, file_id, CHAT)
    assert again.status == 200
    for _ in range(6):
        fleet.fault('table', 'lost_reply', calls_left=5)
        time.sleep(0.3)
    check_all_answered(fleet, 'instance-1', again.json['id'], 300)


@pytest.mark.parametrize('mode', ['down', 'hang'])
@pytest.mark.fleet(instances=2, engines=2)
def test_repeated_table_outages_lose_nothing(fleet: Fleet, mode: str) -> None:
    # The table service is down in the middle of a job for longer than a lease, recovers briefly and
    # is down again. No lease was renewed meanwhile, but no instance considers the holders dead; the
    # job ends with every item answered once.
    for engine in ('engine-0', 'engine-1'):
        fleet.server_faults(engine, slow_ms=10)
    job_id = fleet.submit(fleet.caller(), chat_lines(500), CHAT)
    time.sleep(0.5)
    for pause_s in (4.0, 1.0):
        fleet.fault('table', mode)
        time.sleep(pause_s)
        assert fleet.caller().chat('online goes on').status == 200
        fleet.fault('table', 'none')
        time.sleep(0.6)
    check_all_answered(fleet, 'instance-1', job_id, 500)


@pytest.mark.fleet(instances=2, engines=1)
def test_acknowledged_job_survives_its_instance(fleet: Fleet) -> None:
    # The instance that accepted a job is killed right after its answer. The job was durable before
    # the answer, so the other instance finds and finishes it.
    job_id = fleet.submit(fleet.caller(), chat_lines(120), CHAT)
    fleet.program('instance-0').kill()
    check_all_answered(fleet, 'instance-1', job_id, 120)


@pytest.mark.fleet(instances=2, engines=1)
def test_object_store_outage_delays_outcomes_and_loses_none(fleet: Fleet) -> None:
    # The object store rejects calls while segments finish: outcomes wait in memory until it
    # recovers, and an upload meanwhile is rejected with a retry time.
    job_id = fleet.submit(fleet.caller(), chat_lines(200), CHAT)
    fleet.fault('objects', 'down')
    refused = fleet.caller().upload(chat_lines(60, name='late'))
    assert (refused.status, refused.error['code']) == (503, 'platform_unavailable')
    assert refused.error['retry_in_ms'] > 0
    time.sleep(1.5)
    fleet.fault('objects', 'none')
    check_all_answered(fleet, 'instance-1', job_id, 200)
