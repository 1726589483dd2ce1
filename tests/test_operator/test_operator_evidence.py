"""Audit records for a regulator: complete, reconciled, and protected against alteration."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import pytest
import zstandard

from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines
from tests.support.waiting import wait_until


def report(fleet: Fleet, name: str = 'instance-0') -> Any:
    return fleet.operator(name).get('/operator/v1/report').json


def fault_kinds(fleet: Fleet) -> set[str]:
    return {fault['kind'] for fault in report(fleet)['faults']}


def sealed_keys(fleet: Fleet) -> list[str]:
    keys: list[str] = fleet.platform.get('/objects?prefix=evidence/').json
    return keys


@pytest.mark.fleet(instances=2, engines=1)
def test_report_reconciles_accepted_requests_with_outcomes(fleet: Fleet) -> None:
    # Two instances serve calls and a job, and one of them is restarted. The report matches the
    # outcomes that callers saw, contains no fault, and is the same at both instances.
    job_id = fleet.submit(fleet.caller(), chat_lines(60), '/v1/chat/completions')
    for n in range(10):
        assert fleet.caller(f'instance-{n % 2}').chat(f'ask {n}', stream=True).status == 200
    assert fleet.caller().chat('none', model='demo-model', n=1).status == 200
    fleet.wait_final(fleet.caller(), job_id)
    fleet.program('instance-1').ask_to_stop()
    assert fleet.program('instance-1').wait() == 0
    fleet.start_instance('instance-1')
    fleet.wait_ready('instance-1')

    def reconciled() -> bool:
        classes = report(fleet)['classes']
        calls, nightly = classes.get('calls'), classes.get('nightly')
        if not calls or not nightly or not nightly['jobs_ended_count']:
            return False
        return bool(calls['requests_count'] == 11 and nightly['items_with_outcome_count'] == 60)

    wait_until(reconciled, 'all records to be sealed')
    found = report(fleet)
    assert found['faults'] == []
    assert found['classes']['calls']['kept_count'] == 10
    assert found['classes']['calls']['outcomes'] == {'ok': 11}
    assert found['classes']['nightly']['items_accepted_count'] == 60
    assert report(fleet, 'instance-1')['classes'] == found['classes']
    records = fleet.operator().get('/operator/v1/records').json
    assert sorted(record['kind'] for record in records) == sorted(
        ['online'] * 11 + ['job_accepted', 'job_ended']
    )


@pytest.mark.fleet(instances=1, engines=1)
def test_altered_and_removed_records_are_reported(fleet: Fleet) -> None:
    caller = fleet.caller()
    for count in (1, 2, 3):
        caller.chat('hello')
        wait_until(lambda count=count: len(sealed_keys(fleet)) >= count, 'an object')  # type: ignore[misc]
    assert fault_kinds(fleet) == set()
    keys = sealed_keys(fleet)
    path = f'/objects/{quote(keys[1])}'
    original = fleet.platform.get(path).body
    other = fleet.platform.get(f'/objects/{quote(keys[0])}').body
    fleet.platform.call('PUT', path, original[:-1] + b'x')
    assert fault_kinds(fleet)
    for key in (keys[1], sealed_keys(fleet)[-1]):
        key_path = f'/objects/{quote(key)}'
        stored = fleet.platform.get(key_path).body
        text = zstandard.decompress(stored if key != keys[1] else original)
        forged = zstandard.compress(text.replace(b'"coastal"', b'"another"'))
        fleet.platform.call('PUT', key_path, forged)
        wait_until(
            lambda: 'altered' in fault_kinds(fleet), f'the alteration of {key} to be reported'
        )
        fleet.platform.call('PUT', key_path, original if key == keys[1] else stored)
    fleet.platform.call('PUT', path, other)
    assert fault_kinds(fleet)
    fleet.platform.call('DELETE', path)
    assert 'missing' in fault_kinds(fleet)
    fleet.platform.call('PUT', path, original)
    assert fault_kinds(fleet) == set()
    newest = f'/objects/{quote(sealed_keys(fleet)[-1])}'

    def newest_is_missed() -> bool:
        fleet.platform.call('DELETE', newest)
        return 'missing' in fault_kinds(fleet)

    wait_until(newest_is_missed, 'the newest object to be reported missing by the lease row')


@pytest.mark.fleet(instances=1, engines=1)
def test_lost_records_are_reported(fleet: Fleet) -> None:
    # The object store is down until the buffer of records overflows. Later the instance is killed
    # with records in memory. The report shows both gaps.
    caller = fleet.caller()
    caller.chat('first')
    wait_until(lambda: sealed_keys(fleet), 'an object')
    fleet.fault('objects', 'down')
    for n in range(60):
        caller.chat(f'ask {n}', 1)
    fleet.fault('objects', 'none')
    wait_until(lambda: 'dropped' in fault_kinds(fleet), 'the dropped records to be reported')
    fleet.program('instance-0').kill()
    fleet.start_instance('instance-0')
    fleet.wait_ready('instance-0')
    fleet.caller().chat('after')
    wait_until(lambda: 'after_crash' in fault_kinds(fleet), 'the crash to be reported')
