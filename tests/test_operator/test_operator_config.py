"""An accepted configuration takes effect at all instances and is never reverted."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.support.caller import Answer
from tests.support.fleet import Fleet
from tests.support.waiting import wait_until

CONFIG = '/operator/v1/config'


def class_edit(name: str, first_token_ms: float = 100.0) -> dict[str, Any]:
    entry = {
        'entry': 'class',
        'name': name,
        'kind': 'online',
        'first_token_target_ms': first_token_ms,
    }
    return {'name': f'class/{name}', 'after': entry}


def propose(fleet: Fleet, instance: str, expect: int, *edits: Any) -> Answer:
    body = {'expect_version': expect, 'edits': edits}
    return fleet.operator(instance).call('POST', CONFIG, body)


def version(fleet: Fleet, instance: str) -> int:
    answer = fleet.operator(instance).try_call('GET', '/operator/v1/status')
    return answer.json['config_version'] if answer and answer.status == 200 else 0


@pytest.mark.fleet(instances=3, engines=0, services=())
def test_one_of_several_concurrent_changes_is_accepted(fleet: Fleet) -> None:
    # Operators at three instances concurrently change the same version of the configuration.
    # One change is accepted; the errors of the others name the changed entry and its operator.
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(
                lambda n: propose(fleet, f'instance-{n % 3}', 1, class_edit(f'class-{n}')),
                range(6),
            )
        )
    accepted = [answer for answer in answers if answer.status == 200]
    assert len(accepted) == 1
    winner = accepted[0].json['edits'][0]['name']
    for answer in answers:
        if answer.status != 200:
            assert answer.error['code'] == 'config_conflict'
            assert f'version 2 by olive: {winner}' in answer.error['message']
    for n in range(3):
        wait_until(lambda n=n: version(fleet, f'instance-{n}') == 2, 'version 2 everywhere')  # type: ignore[misc]
    history = fleet.operator().get(f'{CONFIG}/history?after=1').json
    assert [(each['version'], each['who']) for each in history] == [(2, 'olive')]
    assert history[0]['edits'][0]['before'] is None


@pytest.mark.fleet(instances=3, engines=0, services=())
def test_accepted_change_reaches_peers_while_the_table_is_down(fleet: Fleet) -> None:
    # The table service goes down right after it stored a change. Peers receive the change from
    # the instance that accepted it, including one that was frozen meanwhile. A restarted
    # instance accepts no request before it has read the log itself.
    fleet.program('instance-2').freeze()
    assert propose(fleet, 'instance-0', 1, class_edit('a')).status == 200
    fleet.fault('table', 'down')
    wait_until(lambda: version(fleet, 'instance-1') == 2, 'version 2 at a peer')
    fleet.program('instance-2').wake()
    wait_until(lambda: version(fleet, 'instance-2') == 2, 'version 2 at the resumed instance')
    rejected = propose(fleet, 'instance-0', 2, class_edit('b'))
    assert (rejected.status, rejected.error['run']) == (503, 'not_run')
    fleet.program('instance-1').kill()
    fleet.start_instance('instance-1')
    restarted = fleet.caller('instance-1')
    # Waits for the first answer, since the process may take long to start.
    first = wait_until(
        lambda: restarted.try_call('GET', '/health/ready'), 'an answer of the restarted instance'
    )
    assert first.status == 503
    time.sleep(1.0)
    later = restarted.try_call('GET', '/health/ready')
    assert later is not None
    assert later.status == 503
    fleet.fault('table', 'none')
    fleet.wait_ready('instance-1')
    assert version(fleet, 'instance-1') == 2


@pytest.mark.fleet(instances=3, engines=0, services=())
def test_versions_never_decrease(fleet: Fleet) -> None:
    # Versions are polled while changes are made, replies are lost, and instances freeze and
    # restart. No instance shows an older version after a newer one.
    seen: dict[str, int] = {}

    def check_versions() -> None:
        for n in (0, 1, 2):
            name = f'instance-{n}'
            if n == 1:
                continue
            found = version(fleet, name)
            if found:
                assert found >= seen.get(name, 0)
                seen[name] = found

    accepted = 1
    for n in range(8):
        fleet.fault('table', 'lost_reply', calls_left=2)
        answer = propose(fleet, 'instance-0', accepted, class_edit(f'c{n}'))
        check_versions()
        fleet.fault('table', 'none')
        if answer.status == 200:
            accepted = answer.json['version']
        else:
            accepted = wait_until(lambda: version(fleet, 'instance-0'), 'the current version')
        if n == 3:
            fleet.program('instance-1').freeze()
        if n == 5:
            fleet.program('instance-1').wake()
            fleet.program('instance-2').kill()
            fleet.start_instance('instance-2')
            fleet.wait_ready('instance-2')
        check_versions()
    # A change with an uncertain outcome may have taken effect although its operator got an error.
    # An instance may therefore not show the last version yet; the log in the table service does.
    history = wait_until(
        lambda: fleet.operator().get(f'{CONFIG}/history?after=0').json, 'the history'
    )
    last = history[-1]['version']
    assert last >= accepted
    for n in range(3):
        wait_until(lambda n=n: version(fleet, f'instance-{n}') == last, 'the last version')  # type: ignore[misc]


@pytest.mark.fleet(instances=1, engines=0, services=())
def test_error_for_invalid_change_names_the_field(fleet: Fleet) -> None:
    invalid = [
        ({'name': 'class/none', 'after': None}, 'class/none'),
        ({'name': 'class/x', 'after': class_edit('y')['after']}, 'class/x'),
        ({'name': 'class/calls', 'after': None}, 'tenant/'),
    ]
    for edit, expected_name in invalid:
        answer = propose(fleet, 'instance-0', 1, edit)
        assert (answer.status, answer.error['code']) == (400, 'invalid_field')
        assert expected_name in answer.error['message']
    assert fleet.caller().call('GET', CONFIG).status == 401
    assert version(fleet, 'instance-0') == 1
