"""A load balancer sends most new connections to one instance."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from citrondyke.decisions.forwarding.overload_detector import BUSY_LIMIT, LATE_MS, SAMPLES_COUNT
from tests.support.gateway import GatewayFleet, Reply, exchange, wait_until_seen

LIMIT = 50
CROWD = 300


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    """Two instances, of which the first one takes few connections."""
    made = GatewayFleet()
    try:
        made.configure()
        for name in ('app-1', 'app-2'):
            made.add_server(name, 'app', slots=200)
        made.start_instance(connections_limit=LIMIT)
        made.start_instance(connections_limit=CROWD + 10)
        made.wait_ready()
        yield made
    finally:
        made.end()


def call(fleet: GatewayFleet, request_id: str, at: int) -> Reply:
    try:
        return fleet.call('/fetch/a', request_id.encode(), at=at, request_id=request_id)
    except OSError:
        return Reply(0, {}, b'', False)


def runs_of(fleet: GatewayFleet, request_id: str) -> int:
    runs = [run for server in fleet.servers.values() for run in server.runs]
    return sum(run.request_id == request_id for run in runs)


def test_crowd_is_served_or_closed_unread(fleet: GatewayFleet) -> None:
    # Callers whose connection is closed unread go to the other instance at once.
    for server in fleet.servers.values():
        server.answer_ms = 100.0
    frontend = fleet.instances[0].frontend
    most_open = 0
    unread: list[str] = []

    def visit(number: int) -> int:
        nonlocal most_open
        first = call(fleet, f'first-{number}', 0)
        most_open = max(most_open, frontend.open_count)
        if first.status:
            return first.status
        unread.append(f'first-{number}')
        return call(fleet, f'second-{number}', 1).status

    with fleet.connection(0) as kept:
        assert exchange(kept, '/fetch/a', b'before', request_id='before').status == 200
        visits = [gevent.spawn(visit, number) for number in range(CROWD)]
        # On a busy machine the crowd takes longer than a connection may be idle.
        while not all(each.ready() for each in visits):
            assert exchange(kept, '/fetch/a', b'during', request_id='during').is_whole
        gevent.joinall(visits, raise_error=True)
        assert {each.value for each in visits} == {200}
        assert exchange(kept, '/fetch/a', b'after', request_id='after').status == 200
    assert 0 < len(unread) < CROWD
    assert most_open <= LIMIT
    assert not any(runs_of(fleet, request_id) for request_id in unread)
    wait_until_seen(lambda: not frontend.open_count, 'all connections to be closed')


def test_overloaded_instance_closes_new_connections_and_serves_kept_ones(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    frontend = fleet.instances[0].frontend
    record_lateness = frontend.record_lateness
    # A sample of the instance's own timer would end the overload before the call.
    monkeypatch.setattr(frontend, 'record_lateness', lambda _: None)
    with fleet.connection(0) as kept:
        assert exchange(kept, '/fetch/a', b'before', request_id='before').status == 200
        frontend.busy_count += BUSY_LIMIT
        for _ in range(SAMPLES_COUNT):
            record_lateness(LATE_MS + 1.0)
        assert call(fleet, 'refused', 0).status == 0
        assert exchange(kept, '/fetch/a', b'meanwhile', request_id='meanwhile').status == 200
    frontend.busy_count -= BUSY_LIMIT
    record_lateness(0.0)
    assert call(fleet, 'taken', 0).status == 200
    assert not runs_of(fleet, 'refused')
