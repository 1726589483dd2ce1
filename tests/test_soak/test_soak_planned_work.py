"""Planned work loses no request and no job."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from tests.test_soak.planned_work import CutRequest, PlannedWork, lost_requests
from tests.test_soak.soak_fleet import SoakFleet
from tests.test_soak.test_soak_promises import ended_tidily

__all__ = ('ended_tidily',)

#: Seeds that CI plays; in both, connections that a stopping instance no longer accepted were cut.
SEEDS = (2, 3)
SECONDS = float(os.environ.get('CITRONDYKE_SOAK_S', '10'))
INSTANCES = int(os.environ.get('CITRONDYKE_SOAK_INSTANCES', '4'))


def wanted_seeds() -> tuple[int, ...]:
    stated = os.environ.get('CITRONDYKE_PLANNED_SEEDS', '')
    return tuple(int(each) for each in stated.split(',')) if stated else SEEDS


@pytest.mark.usefixtures('ended_tidily')
@pytest.mark.parametrize('seed', wanted_seeds())
def test_planned_work_loses_no_request(seed: int, tmp_path: Path) -> None:
    # Instances are stopped, reloaded and configured anew, and servers replaced, in series and
    # beside each other, under kept and pipelined connections, slow bodies, streams and jobs.
    fleet = SoakFleet(tmp_path, INSTANCES)
    try:
        for number in range(INSTANCES):
            fleet.start(number)
        fleet.wait_ready()
        work = PlannedWork(fleet, seed, SECONDS)
        wrong = work.run()
        failures = [
            line
            for program in fleet.programs
            if program is not None
            for line in program.log_text.splitlines()
            if '"level":"ERROR"' in line or 'Traceback' in line
        ]
    finally:
        fleet.end()
    told = '\n'.join([*work.steps, f'seed {seed}', f'logs: {tmp_path}'])
    print(
        f'seed {seed}: {len(work.steps)} steps, responses {work.answered}, '
        f'{len(work.cut)} closed unread, {len(work.jobs)} jobs'
    )
    assert not wrong, f'{wrong}\n{told}'
    assert not failures, f'{failures[:5]}\n{told}'
    assert work.answered.get(200, 0) > sum(work.answered.values()) / 2, told


def test_lost_requests_are_told_from_those_that_crossed_a_close() -> None:
    crossed = CutRequest('a', 0, 1.0, 1.0, 1.1, 0)
    kept = CutRequest('b', 0, 1.0, 1.0, 1.3, 0)
    timed_out = CutRequest('c', 0, 1.0, 4.0, 6.0, 200)
    assert lost_requests([crossed, timed_out], {'c'}) == []
    assert len(lost_requests([crossed], {'a'})) == 1
    assert len(lost_requests([kept], set())) == 1
