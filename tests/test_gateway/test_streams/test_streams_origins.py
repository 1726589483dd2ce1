"""Instances that come and go never mistake the version that began a stream."""

from __future__ import annotations

import os
from random import Random

import msgspec
import pytest

from citrondyke.decisions.forwarding.route import RouteLimits
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.streams.origin_records import OriginRecords
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.ids import ConfigVersion, ServiceName, SoftwareVersion
from tests.support.manual_clock import manual_context
from tests.support.origin_fleet import TABLE, V1, V2, OriginFleet
from tests.support.peers import listed_server


@pytest.fixture
def fleet() -> OriginFleet:
    """Ten instances that have known one version for a long time."""
    made = OriginFleet(10)
    made.list_servers('v1')
    for name in made.names:
        made.start(name)
    made.wait(60_000.0)
    return made


#: ``CITRONDYKE_ORIGIN_SEEDS=N`` plays the first N seeds.
SEEDS = range(int(os.environ.get('CITRONDYKE_ORIGIN_SEEDS', '20')))
DISTURBANCE_SHARE = 0.1


def test_one_version_costs_no_message_and_no_write(fleet: OriginFleet) -> None:
    version_before = fleet.table.version
    for number in range(20):
        fleet.begin(fleet.names[0], f'request-{number}')
    fleet.wait(10_000.0)
    assert (fleet.sent_count, fleet.table.version) == (0, version_before)
    assert fleet.take_up(fleet.names[1], 'request-1') == V1
    assert fleet.take_up(fleet.names[1], None) == V1


@pytest.mark.parametrize('begun_by', ['request-1', None])
def test_one_version_goes_on_after_a_loss_of_all(fleet: OriginFleet, begun_by: str | None) -> None:
    # Nobody remembers anything; the stored row names the only version.
    fleet.begin(fleet.names[0], 'request-1')
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    assert fleet.take_up(fleet.names[1], begun_by) == V1
    fleet.table.is_away = True
    assert not fleet.take_up(fleet.names[1], begun_by)


def test_refusal_does_not_wait_for_a_silent_store(fleet: OriginFleet) -> None:
    # A read would last until its timeout, and most likely tell nothing.
    fleet.begin(fleet.names[0], 'request-1')
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    fleet.live[fleet.names[1]]._store.record_call()
    fleet.clock.ms += 500.0
    assert not fleet.take_up(fleet.names[1], 'request-1')


def test_version_that_was_replaced_before_a_loss_of_all_is_not_forgotten(
    fleet: OriginFleet,
) -> None:
    # A release ends right before the loss: the list names only the new version, which did not begin
    # the streams.
    fleet.begin(fleet.names[0], 'request-1')
    fleet.list_servers('v2')
    fleet.wait(1_000.0)
    fleet.delist('v1')
    fleet.wait(1_000.0)
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    assert not fleet.take_up(fleet.names[1], 'request-1')
    fleet.wait(60_000.0)
    fleet.begin(fleet.names[0], 'request-2')
    assert fleet.take_up(fleet.names[1], 'request-2') == V2


def test_newly_started_instance_asks_those_that_have_watched(fleet: OriginFleet) -> None:
    fleet.begin(fleet.names[0], 'request-1')
    fleet.kill(fleet.names[1])
    fleet.start(fleet.names[1])
    fleet.table.is_away = True
    assert fleet.take_up(fleet.names[1], 'request-1') == V1


def test_instance_whose_list_lags_does_not_infer_the_old_version(fleet: OriginFleet) -> None:
    # The instance that began the stream knew the new version first, and is killed.
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    assert fleet.begin(fleet.names[0], 'request-1') == V2
    fleet.kill(fleet.names[0])
    for at in fleet.names[1:]:
        assert fleet.take_up(at, 'request-1') == V2


@pytest.mark.parametrize('begun_by', ['request-1', None])
@pytest.mark.parametrize('is_store_away', [False, True])
@pytest.mark.parametrize('lag_ms', [100.0, 1_000.0, 4_000.0])
def test_instance_out_of_step_does_not_infer_the_old_version(
    fleet: OriginFleet, begun_by: str | None, is_store_away: bool, lag_ms: float
) -> None:
    # An instance that is cut off from the others misses a new version; it infers from its own list
    # that there is only the old one, and joins two versions.
    at = fleet.names[1]
    fleet.cut_off.add(at)
    begin_at_next_version(fleet)
    fleet.clock.ms += lag_ms
    fleet.table.is_away = is_store_away
    assert fleet.take_up(at, begun_by) != V1


@pytest.mark.parametrize('begun_by', ['request-1', None])
def test_zone_out_of_step_does_not_infer_the_old_version(
    fleet: OriginFleet, begun_by: str | None
) -> None:
    # A whole zone is cut off from the others and from the store; its instances agree on the past.
    zone = {name for name in fleet.names if fleet.names.index(name) % 3 == 1}
    fleet.cut_off |= zone
    fleet.without_store |= zone
    begin_at_next_version(fleet)
    fleet.clock.ms += 500.0
    for at in zone:
        assert not fleet.take_up(at, begun_by)


def test_lost_records_of_a_new_version_are_not_taken_for_the_old_one(fleet: OriginFleet) -> None:
    # All copies of the record are lost, its instance is killed, and the lists of the others lag.
    fleet.loss_share = 1.0
    begin_at_next_version(fleet)
    fleet.kill(fleet.names[0])
    fleet.clock.ms += 100.0
    for at in fleet.names[1:]:
        assert fleet.take_up(at, 'request-1') != V1


def begin_at_next_version(fleet: OriginFleet) -> None:
    """Replace the servers, and begin a stream at the only instance that knows it."""
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    assert fleet.begin(fleet.names[0], 'request-1') == V2


def test_record_of_a_version_that_is_not_listed_yet_ends_the_inference(fleet: OriginFleet) -> None:
    # A holder whose list lags knows the new version from the record alone.
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    fleet.begin(fleet.names[0], 'request-1')
    holder = next(name for name in fleet.names[1:] if fleet.holds(name, 'request-1'))
    assert not fleet.take_up(holder, None)


def test_peers_whose_list_is_ahead_end_the_inference(fleet: OriginFleet) -> None:
    # Any instance may have begun the stream, also one that knew the new version. Only the store
    # tells that none begins streams there yet.
    fleet.list_servers('v2')
    fleet.sync(fleet.names[0])
    fleet.table.is_away = True
    assert not fleet.take_up(fleet.names[1], 'request-of-a-killed-instance')
    fleet.table.is_away = False
    assert fleet.begin(fleet.names[0], 'request-1') == V1
    fleet.kill(fleet.names[0])
    assert fleet.take_up(fleet.names[1], 'request-1') == V1


def test_half_of_the_streams_of_two_versions_go_on_after_a_loss_of_all(fleet: OriginFleet) -> None:
    # A release has brought the second version; then nobody remembers which one began a stream.
    fleet.list_servers('v2', 2)
    fleet.wait(2_000.0)
    begun = {f'request-{n}': fleet.begin(fleet.names[n % 10], f'request-{n}') for n in range(60)}
    assert set(begun.values()) == {V1, V2}
    for name in fleet.names:
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name)
    found = {name: fleet.take_up(fleet.names[3], name) for name in begun}
    assert all(not found[name] or found[name] == begun[name] for name in begun)
    assert sum(bool(origin) for origin in found.values()) >= 30


def test_stream_that_begins_elsewhere_is_stored_before(fleet: OriginFleet) -> None:
    # Its version has no server left; without the row it would be continued at the assigned one
    # once a server of that version is back.
    fleet.list_servers('v2')
    fleet.wait(2_000.0)
    fleet.delist('v1')
    for name in fleet.names:
        fleet.sync(name)
    begun = [f'request-{n}' for n in range(20)]
    assert {fleet.begin(fleet.names[0], name) for name in begun} == {V2}
    for name in fleet.names:
        fleet.kill(name)
    fleet.list_servers('v1')
    for name in fleet.names:
        fleet.start(name)
    found = [fleet.take_up(fleet.names[1], name) for name in begun]
    assert V1 not in found
    assert V2 in found


def test_contradicting_records_leave_the_origin_unknown() -> None:
    records = OriginRecords(manual_context())
    records.add(1, V1, 1_000.0)
    records.add(1, V2, 1_000.0)
    assert records.find(1) is None


def test_route_that_moved_to_another_service_does_not_continue_its_streams(
    fleet: OriginFleet,
) -> None:
    # The streams so far belong to the earlier service; one version of each serves.
    fleet.begin(fleet.names[0], 'request-1')
    moved = msgspec.structs.replace(
        TABLE.routes[0],
        shares=(msgspec.structs.replace(TABLE.routes[0].shares[0], service=ServiceName('other')),),
    )
    stated = SoftwareVersion('v1')
    fleet.listed['other-0'] = listed_server('other-0', 'other', software_version=stated)
    table = RouteTable(ConfigVersion(2), (moved,), RouteLimits())
    for exchange in fleet.live.values():
        exchange._config.update_if_newer(table)
    fleet.wait(250.0)
    assert fleet.take_up(fleet.names[1], 'request-1') == V1
    fleet.kill(fleet.names[0])
    assert fleet.take_up(fleet.names[2], 'request-1') == V1
    assert not fleet.take_up(fleet.names[2], None)


def release(fleet: OriginFleet, random: Random) -> None:
    """List a new version; half of the instances learn of it at once."""
    fleet.list_servers(f'v{fleet.clock.ms:.0f}')
    for name in random.sample(sorted(fleet.live), len(fleet.live) // 2):
        fleet.sync(name)


def end_version(fleet: OriginFleet, random: Random) -> None:
    """Delist one of several versions."""
    versions = sorted({name.partition('-')[0] for name in fleet.listed})
    if len(versions) > 1:
        fleet.delist(random.choice(versions))


def kill_some(fleet: OriginFleet, random: Random) -> None:
    """Kill one, four or all instances; at least one of them starts again."""
    count = min(len(fleet.live), random.choice((1, 4, 10)))
    killed = random.sample(sorted(fleet.live), count)
    for name in killed:
        fleet.kill(name)
    for name in killed[: random.randint(1, count)]:
        fleet.start(name)


def cut_some(fleet: OriginFleet, random: Random) -> None:
    """Cut some instances off from the others, from the store, or from both; or reconnect all."""
    names = set(random.sample(fleet.names, random.choice((0, 1, 3))))
    fleet.cut_off, fleet.without_store = random.choice(
        ((names, set()), (set(), names), (names,) * 2)
    )


def start_all(fleet: OriginFleet, _: Random) -> None:
    """Start the instances that are down."""
    for name in fleet.names:
        if name not in fleet.live:
            fleet.start(name)


def turn_store(fleet: OriginFleet, _: Random) -> None:
    """Have the store go away or come back."""
    fleet.table.is_away = not fleet.table.is_away


@pytest.mark.parametrize('seed', SEEDS)
def test_no_series_of_kills_and_releases_joins_two_versions(seed: int) -> None:
    # Instances are killed, four or all at once, or cut off, lists lag, messages get lost and the
    # store goes away while versions come and go.
    random = Random(seed)
    fleet = OriginFleet(10, seed)
    fleet.list_servers('v0')
    start_all(fleet, random)
    fleet.loss_share = 0.01
    streams: dict[str, StreamOrigin] = {}
    asked_count = went_on_count = 0
    for number in range(400):
        fleet.wait(random.choice((0.0, 0.0, 250.0, 500.0)))
        if random.random() < DISTURBANCE_SHARE:
            random.choice((release, end_version, kill_some, start_all, turn_store, cut_some))(
                fleet, random
            )
        origin = fleet.begin(random.choice(sorted(fleet.live)), f'request-{number}')
        if origin is not None:
            streams[f'request-{number}'] = origin
        begun_by = f'request-{max(0, number - random.randint(0, 6))}'
        if begun_by in streams:
            found = fleet.take_up(random.choice(sorted(fleet.live)), begun_by)
            assert not found or found == streams[begun_by]
            asked_count += 1
            went_on_count += bool(found)
    assert went_on_count >= asked_count / 2
    print(f'seed {seed}: {went_on_count} of {asked_count} went on')


def lose_all(fleet: OriginFleet, random: Random) -> None:
    """Kill all instances, and start them with a list that has changed meanwhile."""
    for name in sorted(fleet.live):
        fleet.kill(name)
    random.choice((release, end_version, return_version, replace_all, keep))(fleet, random)
    fleet.clock.ms += random.choice((250.0, 1_000.0, 3_000.0))
    start_all(fleet, random)


def replace_all(fleet: OriginFleet, random: Random) -> None:
    """List a new version and delist all others."""
    fleet.listed.clear()
    release(fleet, random)


def return_version(fleet: OriginFleet, random: Random) -> None:
    """List a version that was delisted, such as after a release that is rolled back."""
    fleet.list_servers(random.choice(fleet.versions), random.randint(1, 3))


def step_clock(fleet: OriginFleet, random: Random) -> None:
    """Change the time of day of half of the machines."""
    for name in random.sample(fleet.names, len(fleet.names) // 2):
        fleet.clocks[name].ahead_ms = random.choice((-3_600_000.0, 0.0, 3_600_000.0))


def turn_late(fleet: OriginFleet, _: Random) -> None:
    """Have the store perform writes late, or perform those that are."""
    if fleet.table.is_late:
        fleet.table.perform_late()
    else:
        fleet.table.is_late = True


def keep(_: OriginFleet, __: Random) -> None:
    """Change nothing."""


@pytest.mark.parametrize('seed', SEEDS)
def test_no_series_of_losses_of_all_joins_two_versions(seed: int) -> None:
    # All instances are lost again and again, during and after releases; versions are gone when they
    # start, or return; clocks are wrong and writes late.
    random = Random(seed)
    fleet = OriginFleet(10, seed)
    fleet.list_servers('v0')
    start_all(fleet, random)
    disturbances = (release, end_version, return_version, step_clock, turn_late, lose_all, lose_all)
    streams: dict[str, StreamOrigin] = {}
    asked_count = went_on_count = 0
    for number in range(400):
        fleet.wait(random.choice((0.0, 0.0, 250.0, 500.0)))
        if random.random() < DISTURBANCE_SHARE:
            random.choice(disturbances)(fleet, random)
        origin = fleet.begin(random.choice(sorted(fleet.live)), f'request-{number}')
        if origin is not None:
            streams[f'request-{number}'] = origin
        begun_by = f'request-{max(0, number - random.randint(0, 6))}'
        if begun_by in streams:
            found = fleet.take_up(random.choice(sorted(fleet.live)), begun_by)
            assert not found or found == streams[begun_by]
            asked_count += 1
            went_on_count += bool(found)
    print(f'seed {seed}: {went_on_count} of {asked_count} went on')
