"""Jobs at instances whose time of day steps."""

from __future__ import annotations

import pytest

from tests.support.gateway import GatewayFleet, wait_until_seen

HOUR_MS = 3_600_000.0
SERVERS = ('lm-1', 'lm-2')


@pytest.mark.parametrize(
    ('accepted_ahead_ms', 'later_ahead_ms'),
    [(-HOUR_MS, 0.0), (0.0, HOUR_MS)],
    ids=['behind-at-acceptance', 'ahead-later'],
)
def test_items_are_not_given_up_when_the_time_of_day_steps(
    fleet: GatewayFleet,
    monkeypatch: pytest.MonkeyPatch,
    accepted_ahead_ms: float,
    later_ahead_ms: float,
) -> None:
    # The job's items wait for servers. By the time of day alone they would have waited for an hour,
    # and be listed as errored.
    true_epoch_ms = fleet.clock.epoch_ms

    def set_ahead(ahead_ms: float) -> None:
        for instance in fleet.instances:
            monkeypatch.setattr(instance.clock, 'epoch_ms', lambda: true_epoch_ms() + ahead_ms)

    for name in SERVERS:
        fleet.list_server(name, 'lm', state='draining', seq=2)
    states = [each.book.states for each in fleet.instances]
    wait_until_seen(
        lambda: all(
            state.listed.is_leaving
            for listed in states
            for state in listed()
            if state.listed.service == 'lm'
        ),
        'all instances to know that the servers drain',
    )
    set_ahead(accepted_ahead_ms)
    assert fleet.submit('job-1').status == 202
    set_ahead(later_ahead_ms)
    owner = fleet.instances[0].batch
    wait_until_seen(lambda: not fleet.instances[0].refresher.is_stale, 'fresh lists')
    owner.runner._start_items()
    (job,) = owner.owned.by_id.values()
    assert len(job.open) == 3
    for name in SERVERS:
        fleet.list_server(name, 'lm', seq=3)
    assert {each['state'] for each in fleet.wait_done('job-1')} == {'completed'}
