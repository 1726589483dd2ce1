"""Items of a machine that was suspended go to no server that left meanwhile."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from citrondyke.gateway.instance import GatewayInstance
from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.streams import BegunStream


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    """One instance, and a server that has room for two."""
    made = GatewayFleet()
    try:
        made.configure()
        made.add_server('lm-0', 'lm', slots=2)
        made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


def suspend(instance: GatewayInstance, suspended_ms: float) -> None:
    """Have the clock that goes on during a suspend tell that time has passed."""
    fence_ms = instance.clock.fence_ms
    instance.clock.fence_ms = lambda: fence_ms() + suspended_ms  # type: ignore[method-assign]


def test_item_that_waited_through_a_pause_avoids_a_server_that_left(fleet: GatewayFleet) -> None:
    # An item waits for a place at the only server; the machine is suspended while the server leaves
    # and another one comes, and then there is a place.
    (instance,) = fleet.instances
    server = fleet.servers['lm-0']
    server.answer_modes.extend([AnswerMode.HOLD] * 2)
    online = [BegunStream(fleet, f'request-{number}') for number in range(2)]
    assert fleet.submit('job-1', 1).status == 202
    jobs = instance.batch.owned.by_id.values()
    wait_until_seen(lambda: [each for job in jobs for each in job.open.values()], 'the item')
    assert not any(run.request_id == 'job-1-0' for run in server.runs)
    # After a change the feed pauses, so that the next one does not come before there is a place.
    revision = instance.replicated.list_revision
    fleet.list_server('lm-0', 'lm', slots=2, seq=2)
    wait_until_seen(lambda: instance.replicated.list_revision > revision, 'the heartbeat')
    fleet.list_server('lm-0', 'lm', slots=2, state='draining', seq=3)
    fleet.add_server('lm-1', 'lm')
    suspend(instance, 3_000.0)
    for stream in online:
        stream.close()
    fleet.wait_done('job-1')
    assert not any(run.request_id == 'job-1-0' for run in server.runs)
