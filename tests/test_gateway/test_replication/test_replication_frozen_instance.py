"""An instance that stood still reads what it missed before it acts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from gevent import socket

from tests.support.gateway import Reply, exchange, wait_until_seen
from tests.support.program import Program
from tests.test_soak.soak_fleet import CALLERS_PORT, STEADY_KEY, SoakFleet, changing_key

#: Fewer than the capacity of one server.
REQUESTS = 5
#: Longer than a draining server may get requests.
FROZEN_S = 2.5


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[SoakFleet]:
    """Two instances as processes, and two servers of each service."""
    made = SoakFleet(tmp_path, 2, {'app': 2, 'lm': 2})
    try:
        for number in range(2):
            made.start(number)
        made.wait_ready()
        yield made
    finally:
        made.end()


def frozen(fleet: SoakFleet) -> Program:
    program = fleet.program(0)
    assert program is not None
    program.freeze()
    return program


def call(fleet: SoakFleet, number: int, key: str = STEADY_KEY) -> Reply:
    with socket.create_connection((fleet.ip(0), CALLERS_PORT), timeout=20.0) as sock:
        return exchange(sock, '/fetch/x', b'x', request_id=f'frozen-{number}', x_api_key=key)


def test_frozen_instance_sends_nothing_to_a_server_that_left(fleet: SoakFleet) -> None:
    # Requests that wait in the sockets of a frozen instance go to a server that left meanwhile.
    program = frozen(fleet)
    calls = [gevent.spawn(call, fleet, number) for number in range(REQUESTS)]
    # A heartbeat of another server answers the feed, so that it does not bring the news.
    fleet.list_server('app-1')
    gevent.sleep(0.2)
    fleet.leave_server('app-0')
    gevent.sleep(FROZEN_S)
    program.wake()
    assert {each.get().status for each in calls} == {200}
    assert not fleet.servers['app-0'].runs
    wait_until_seen(lambda: 'instance.paused' in program.log_text, 'the log of the pause')


def test_frozen_instance_accepts_no_key_that_was_revoked(fleet: SoakFleet) -> None:
    # The key is gone from the configuration for longer than a change of it may take.
    key = changing_key(fleet.version - 1)
    program = frozen(fleet)
    calls = [gevent.spawn(call, fleet, number, key) for number in range(REQUESTS)]
    gevent.sleep(0.2)
    fleet.configure()
    gevent.sleep(FROZEN_S)
    program.wake()
    assert {each.get().status for each in calls} == {401}
