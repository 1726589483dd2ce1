"""Tests that sound items are completed after servers have crashed under them."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from citrondyke.standin.platform_server import AnswerMode
from tests.support.gateway import GatewayFleet, route, wait_until_seen

ITEMS, UNLUCKY = 6, 2


@pytest.fixture
def batch_fleet() -> Iterator[GatewayFleet]:
    """Two instances and three servers, for jobs with a short target."""
    made = GatewayFleet()
    try:
        batch = route('batch-stream', 'batch', 'lm', completion_slo_ms=4_000, max_wait_s=60)
        made.configure(routes=[batch])
        for number in range(3):
            made.add_server(f'lm-{number}', 'lm')
        for _ in range(2):
            made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()


def arm(fleet: GatewayFleet) -> None:
    for server in fleet.servers.values():
        server.crash_bodies.update(b'item %d' % number for number in range(UNLUCKY))


def calm(fleet: GatewayFleet) -> None:
    for server in fleet.servers.values():
        server.crash_bodies.clear()
    fleet.restart_ended()


def crash_under_items(fleet: GatewayFleet, count: int) -> None:
    """Restart crashed servers until so many have crashed under the unlucky items."""

    def look() -> bool:
        fleet.restart_ended()
        return len(fleet.ended) >= count

    wait_until_seen(look, f'{count} crashes')


def assert_completed(fleet: GatewayFleet) -> None:
    results = fleet.wait_done('job')
    assert sorted(each['id'] for each in results) == [f'job-{n}' for n in range(ITEMS)]
    assert {each['state'] for each in results} == {'completed'}


@pytest.mark.parametrize('parts', ['', 'aa:1,bb:1,cc:1'])
@pytest.mark.parametrize('count', [3, 8, 14])
def test_items_under_which_servers_crashed_are_completed(
    batch_fleet: GatewayFleet, count: int, parts: str
) -> None:
    # The crashes have another cause, and all items are sound. Some share the parts of their prompts
    # with all others, as items of one route do.
    arm(batch_fleet)
    headers = {'Prefix-Hash': parts} if parts else {}
    assert batch_fleet.submit('job', ITEMS, item_headers=headers).status == 202
    crash_under_items(batch_fleet, count)
    calm(batch_fleet)
    assert_completed(batch_fleet)


def test_items_are_completed_after_crashes_while_the_store_is_silent(
    batch_fleet: GatewayFleet,
) -> None:
    arm(batch_fleet)
    assert batch_fleet.submit('job', ITEMS).status == 202
    crash_under_items(batch_fleet, 4)
    faults = batch_fleet.store.faults
    faults.refused_ips, faults.is_silent = {'*'}, True
    gevent.sleep(3.0)
    faults.refused_ips, faults.is_silent = set(), False
    calm(batch_fleet)
    assert_completed(batch_fleet)


def test_items_are_completed_after_rejected_probes(batch_fleet: GatewayFleet) -> None:
    arm(batch_fleet)
    assert batch_fleet.submit('job', ITEMS).status == 202
    crash_under_items(batch_fleet, 3 * UNLUCKY)
    calm(batch_fleet)
    for server in batch_fleet.servers.values():
        server.answer_modes.extend([AnswerMode.REFUSE] * 3)
    assert_completed(batch_fleet)
