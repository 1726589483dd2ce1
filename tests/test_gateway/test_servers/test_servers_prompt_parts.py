"""Tests that a prompt part that crashes its servers does not take the fleet down."""

from __future__ import annotations

import base64

import msgspec
import pytest

from citrondyke.decisions.crashes.probe_policy import FIRST_PROBE_PAUSE_MS, PROBE_PAUSE_MS
from citrondyke.decisions.crashes.suspect_key import part_key
from citrondyke.ids import PromptPart
from citrondyke.platform.rows import SERVERS_TABLE
from citrondyke.util.clock import SystemClock
from tests.support.gateway import GatewayFleet, Reply, wait_until_seen

HARMFUL, SHARED, COMPANION = 'bad0bad0', '5a5a5a5a', 'c0c0c0c0'
#: Orders in which harmful requests hold the part; the last one has it as its first part.
ORDERS = ((SHARED, HARMFUL), (SHARED, COMPANION, HARMFUL), (HARMFUL, SHARED))
PATHS = ('/stream/x', '/fetch/x')
#: Ends that may be needed to find the part, and sends of it after that.
ENOUGH = 3
MORE = 3


class TimeOfDay:
    """Time of day of all instances; it stands still until it is moved."""

    def __init__(self) -> None:
        self.ms = SystemClock().epoch_ms()


@pytest.fixture
def time_of_day(monkeypatch: pytest.MonkeyPatch) -> TimeOfDay:
    """Hold the time of day, so that no probe comes due while a test waits."""
    held = TimeOfDay()
    monkeypatch.setattr(SystemClock, 'epoch_ms', lambda _: held.ms)
    return held


def prompt(number: int, *parts: str) -> str:
    """Name the shared parts of a prompt, and one that no other request has."""
    return ','.join([*(f'{part}:100' for part in parts), f'{number:08x}:250'])


def ask(fleet: GatewayFleet, number: int, *parts: str, path: str, at: int = 0) -> Reply:
    """Send a request that equals no other one."""
    return fleet.call(
        path,
        b'body %d' % number,
        at=at,
        request_id=f'request-{number}',
        prefix_hash=prompt(number, *parts),
    )


def arm(fleet: GatewayFleet) -> None:
    for server in fleet.servers.values():
        server.crash_parts.add(HARMFUL)


def send_repeatedly(
    fleet: GatewayFleet, path: str, order: tuple[str, ...], count: int = 8
) -> list[int]:
    """Send sound and harmful requests by turns; give the statuses of the sound ones."""
    arm(fleet)
    statuses = []
    for number in range(count):
        at = number % len(fleet.instances)
        statuses.append(ask(fleet, 2 * number, SHARED, path=path, at=at).status)
        ask(fleet, 2 * number + 1, *order, path=path, at=at)
        fleet.restart_ended()
    return statuses


def assert_stopped(fleet: GatewayFleet, path: str, instances: tuple[int, ...] = (0, 1)) -> None:
    """Check that harmful requests are refused at once, and sound ones served."""
    before = fleet.runs_with_part(HARMFUL)
    for at in instances:
        harmful = ask(fleet, 1_000 + 2 * at, SHARED, HARMFUL, path=path, at=at)
        assert (harmful.status, 'retry-after' in harmful.headers) == (502, False)
        sound = ask(fleet, 1_001 + 2 * at, SHARED, path=path, at=at)
        assert (sound.status, sound.is_whole) == (200, True)
    assert fleet.runs_with_part(HARMFUL) == before <= ENOUGH + MORE


@pytest.mark.usefixtures('time_of_day')
@pytest.mark.parametrize('order', ORDERS)
@pytest.mark.parametrize('path', PATHS)
def test_part_that_crashes_servers_is_stopped(
    fleet: GatewayFleet, path: str, order: tuple[str, ...]
) -> None:
    # No two requests are alike; only a part of their prompts is. Sound requests share its other
    # parts.
    statuses = send_repeatedly(fleet, path, order)
    assert fleet.runs_with_part(HARMFUL) <= ENOUGH + MORE
    assert statuses == [200] * len(statuses)
    assert_stopped(fleet, path)


@pytest.mark.parametrize('path', PATHS)
def test_only_due_probes_of_a_stopped_part_are_sent(
    fleet: GatewayFleet, path: str, time_of_day: TimeOfDay
) -> None:
    arm(fleet)
    for number, exits_count in enumerate((2, 3)):
        assert ask(fleet, 2 * number, SHARED, path=path, at=number).status == 200
        ask(fleet, 2 * number + 1, *ORDERS[1], path=path, at=number)
        wait_for_exits(fleet, exits_count)
        fleet.restart_ended()
    number = 2_000
    for pause_ms in (FIRST_PROBE_PAUSE_MS, PROBE_PAUSE_MS, 2 * PROBE_PAUSE_MS):
        time_of_day.ms += pause_ms - 1.0
        assert_stopped(fleet, path)
        runs = fleet.runs_with_part(HARMFUL)
        time_of_day.ms += 1.0
        for _ in range(3):
            number += 1
            ask(fleet, number, SHARED, HARMFUL, path=path, at=number % 2)
            wait_for_exits(fleet, runs + 1)
        assert fleet.runs_with_part(HARMFUL) == runs + 1
        fleet.restart_ended()
    time_of_day.ms += 100 * PROBE_PAUSE_MS
    assert_stopped(fleet, path)


def wait_for_exits(fleet: GatewayFleet, count: int) -> None:
    """Wait until all instances know of the exits under the part."""
    key = part_key(PromptPart(HARMFUL))
    wait_until_seen(
        lambda: all(each.guard.exits_count(key) == count for each in fleet.instances),
        f'{count} exits everywhere',
    )


@pytest.mark.usefixtures('time_of_day')
@pytest.mark.parametrize('path', PATHS)
def test_stopped_part_survives_the_loss_of_all_instances(fleet: GatewayFleet, path: str) -> None:
    send_repeatedly(fleet, path, ORDERS[0], 4)
    for instance in fleet.instances:
        instance.stop_abruptly()
    fleet.instances.clear()
    for _ in range(2):
        fleet.start_instance()
    fleet.wait_ready()
    assert_stopped(fleet, path)


@pytest.mark.usefixtures('time_of_day')
@pytest.mark.parametrize('path', PATHS)
def test_new_instance_knows_a_stopped_part(fleet: GatewayFleet, path: str) -> None:
    # An instance is lost, and one that starts in its place has seen none of the ends.
    send_repeatedly(fleet, path, ORDERS[0], 4)
    fleet.instances[0].stop_abruptly()
    fleet.start_instance()
    wait_until_seen(lambda: fleet.instances[-1].replicated.is_complete, 'the new one to serve')
    assert_stopped(fleet, path, (1, 2))


@pytest.mark.usefixtures('time_of_day')
@pytest.mark.parametrize('path', PATHS)
def test_part_is_stopped_while_the_store_is_silent(fleet: GatewayFleet, path: str) -> None:
    # No instance learns of servers that start, so that each end is one server less for everybody.
    for number in range(3, 9):
        fleet.add_server(f'lm-{number}', 'lm')
        fleet.add_server(f'app-{number}', 'app')
    fleet.wait_ready()
    arm(fleet)
    ask(fleet, 0, SHARED, HARMFUL, path=path)
    fleet.store.faults.refused_ips = {'*'}
    fleet.store.faults.is_silent = True
    for number in range(1, 9):
        at = number % 2
        assert ask(fleet, 2 * number, SHARED, path=path, at=at).status == 200
        ask(fleet, 2 * number + 1, SHARED, HARMFUL, path=path, at=at)
    assert sum(server.has_crashed for server in fleet.servers.values()) <= ENOUGH + MORE
    assert_stopped(fleet, path)


def submit(fleet: GatewayFleet, harmful: range, count: int) -> None:
    """Hand in a job in which some items have the part."""
    items = [
        {
            'id': f'job-{n}',
            'path': '/batch-stream/x',
            'headers': {'Prefix-Hash': prompt(n, SHARED, *([HARMFUL] if n in harmful else []))},
            'body': base64.b64encode(b'item %d' % n).decode(),
            'tokens': 10,
        }
        for n in range(count)
    ]
    body = msgspec.json.encode({'requests': items})
    assert fleet.call('/batch-stream/job', body, request_id='job').status == 202


def wait_for_results(fleet: GatewayFleet, count: int) -> None:
    """Start ended servers anew until as many items of the job have a result."""

    def look() -> bool:
        fleet.restart_ended()
        return bool(fleet.results('job')['next'] == count)

    wait_until_seen(look, 'the results of the other items')


def test_items_with_a_part_that_crashes_servers_do_not_stop_the_others(fleet: GatewayFleet) -> None:
    # A third of a job's items have the part. Each of them is another item.
    arm(fleet)
    submit(fleet, range(0, 12, 3), 12)
    wait_for_results(fleet, 8)
    # Requests go on with what the items have begun to show.
    send_repeatedly(fleet, '/stream/x', ORDERS[0], 4)
    assert_stopped(fleet, '/stream/x')


def test_part_stopped_by_requests_is_stopped_in_items(fleet: GatewayFleet) -> None:
    send_repeatedly(fleet, '/stream/x', ORDERS[0], 4)
    before = fleet.runs_with_part(HARMFUL)
    submit(fleet, range(8), 10)
    wait_for_results(fleet, 2)
    assert fleet.runs_with_part(HARMFUL) - before <= MORE


def test_crashes_of_another_cause_stop_no_part(fleet: GatewayFleet) -> None:
    # Servers crash by chance, one after the other, each with requests of a popular part on it.
    for number in range(4):
        ask(fleet, number, SHARED, path='/stream/x', at=number % 2)
        victim = next(name for name in fleet.servers if name.startswith('lm'))
        fleet.servers[victim].answer_modes.clear()
        fleet.servers[victim].crash()
        fleet.store.remove(SERVERS_TABLE, victim)
        fleet.restart_ended()
        for at in range(2):
            reply = ask(fleet, 100 + 2 * number + at, SHARED, path='/stream/x', at=at)
            assert reply.status == 200
