"""``citrondykectl`` shows state, changes the configuration and fails with documented exit codes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from citrondyke.cmd.embedded import DEMO_OPERATOR_KEY
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines


class Ctl:
    def __init__(self, port: int, key: str = DEMO_OPERATOR_KEY) -> None:
        self._options = ['--server', f'http://127.0.0.1:{port}', '--key', key]

    def run(self, *words: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, '-m', 'citrondyke.cmd.citrondykectl', *words, *self._options]
        return subprocess.run(command, check=False, capture_output=True, text=True)

    def json(self, *words: str) -> Any:
        done = self.run(*words, '--json')
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)


@pytest.fixture
def ctl(fleet: Fleet) -> Ctl:
    return Ctl(fleet.port('instance-0'))


@pytest.mark.fleet(instances=1, engines=1)
def test_classes_and_tenants_are_set_and_removed(ctl: Ctl, fleet: Fleet, tmp_path: Path) -> None:
    words = ['class', 'set', 'counter', '--kind', 'online', '--first-token-ms', '300']
    assert ctl.json(*words)['version'] == 2
    tenant = ['tenant', 'set', 'new', '--online-class', 'counter', '--batch-class', 'nightly']
    assert ctl.run(*tenant, '--tenant-key', 'old-key', '--tenant-key', 'new-key').returncode == 0
    for key in ('old-key', 'new-key'):
        assert fleet.caller(key=key).chat('hello').status == 200
    assert ctl.run(*tenant, '--tenant-key', 'new-key').returncode == 0
    assert fleet.caller(key='old-key').chat('hello').status == 401
    in_use = ctl.run('class', 'remove', 'counter')
    assert in_use.returncode == 2
    assert 'tenant/new' in in_use.stderr
    assert ctl.run('tenant', 'remove', 'new').returncode == 0
    assert ctl.run('class', 'remove', 'counter').returncode == 0
    history = ctl.json('config', 'history', '--after', '1')
    assert [change['version'] for change in history] == [2, 3, 4, 5, 6]
    assert {change['who'] for change in history} == {'olive'}
    file = tmp_path / 'config.json'
    entries = ctl.json('config', 'get')
    entries['entries'][0]['first_token_target_ms'] = 77.0
    file.write_text(json.dumps(entries))
    assert len(ctl.json('config', 'diff', str(file))) == 1
    stale = ctl.run('config', 'apply', str(file), '--expect', '5')
    assert stale.returncode == 3
    assert 'version 6 by olive: class/counter' in stale.stderr
    assert ctl.run('config', 'apply', str(file), '--expect', '6').returncode == 0
    assert ctl.json('config', 'diff', str(file)) == []


@pytest.mark.fleet(instances=1, engines=1)
def test_status_jobs_and_histograms(ctl: Ctl, fleet: Fleet) -> None:
    assert fleet.caller().chat('hello', stream=True).status == 200
    report = ctl.json('status')
    assert {server['id'] for server in report['servers']} == {'engine-0', 'orders-server'}
    assert 'first_token' in ctl.json('histograms', '--class', 'calls')['calls']
    assert 'coastal' in ctl.json('histograms', '--tenant', 'coastal')
    fleet.server_faults('engine-0', slow_ms=30)
    job_id = fleet.submit(fleet.caller(), chat_lines(300), '/v1/chat/completions')
    assert [job['job_id'] for job in ctl.json('jobs', 'list')] == [job_id]
    assert 'items' in ctl.run('jobs', 'show', job_id).stdout
    assert ctl.run('jobs', 'cancel', job_id).returncode == 0
    job = fleet.wait_final(fleet.caller(), job_id)
    assert job['status'] == 'cancelled'
    for words in (['status'], ['jobs', 'list'], ['histograms'], ['config', 'get']):
        assert ctl.run(*words).returncode == 0


@pytest.mark.fleet(instances=1, engines=0, services=())
def test_each_kind_of_failure_has_its_exit_code(ctl: Ctl, fleet: Fleet) -> None:
    assert ctl.run('jobs', 'show', 'none').returncode == 4
    assert Ctl(fleet.port('instance-0'), 'nobody').run('status').returncode == 5
    assert Ctl(1).run('status').returncode == 6
    assert ctl.run('config', 'apply', 'no-such-file', '--expect', '1').returncode == 2
    assert ctl.run('no-such-command').returncode != 0
