"""Late items run at idle servers of one slot, and online requests get the slot back."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import ROUTES, GatewayFleet, route, wait_until_seen


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[GatewayFleet]:
    """Two instances and servers of one slot; items are late from the start."""
    made = GatewayFleet()
    try:
        batch = route('batch-stream', 'batch', 'lm', completion_slo_ms=1, max_wait_s=600)
        made.configure(routes=[*ROUTES[:-1], batch])
        for number in range(request.param):
            made.add_server(f'lm-{number}', 'lm', slots=1)
        for _ in range(2):
            made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


@pytest.mark.parametrize('fleet', [1, 3], indirect=True)
def test_late_items_run_at_idle_servers_of_one_slot(fleet: GatewayFleet) -> None:
    for number in range(2):
        assert fleet.submit(f'job-{number}', 3).status == 202
    for number in range(2):
        states = [each['state'] for each in fleet.wait_done(f'job-{number}')]
        assert states == ['completed'] * 3


@pytest.mark.parametrize('fleet', [1], indirect=True)
def test_online_request_gets_the_slot_of_a_late_item(fleet: GatewayFleet) -> None:
    server = fleet.servers['lm-0']
    server.answer_modes.append(AnswerMode.HOLD)
    assert fleet.submit('job', 1).status == 202
    wait_until_seen(lambda: [run for run in server.runs if run.request_id == 'job-0'], 'the item')
    assert fleet.call('/stream/a').status == 200
    assert [each['state'] for each in fleet.wait_done('job')] == ['completed']
