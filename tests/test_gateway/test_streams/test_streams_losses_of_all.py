"""After a loss of all instances only the store tells which version began a stream."""

from __future__ import annotations

import pytest

from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.gateway.streams.stream_exceptions import EXCEPTIONS_TABLE
from citrondyke.storage.partitioned_table import PartTransaction, RowPut
from tests.support.origin_fleet import SERVICE, V1, V2, OriginFleet

HOUR_MS = 3_600_000.0


@pytest.fixture
def fleet() -> OriginFleet:
    """Three instances that have known one version for a long time."""
    made = OriginFleet(3)
    made.list_servers('v1')
    for name in made.names:
        made.start(name)
    made.wait(60_000.0)
    return made


def begin_many(fleet: OriginFleet, count: int = 40, at: int = 0) -> dict[str, StreamOrigin]:
    """Begin streams at one instance; leave out those that are rejected."""
    base = int(fleet.clock.ms)
    names = [f'request-{base}-{number}' for number in range(count)]
    begun = {name: fleet.begin(fleet.names[at], name) for name in names}
    return {name: origin for name, origin in begun.items() if origin is not None}


def count_of_joined(fleet: OriginFleet, begun: dict[str, StreamOrigin], at: int = 1) -> int:
    """Take streams up, and count those that would go on at another version."""
    found = {name: fleet.take_up(fleet.names[at], name) for name in begun}
    return sum(bool(origin) and origin != begun[name] for name, origin in found.items())


def release(fleet: OriginFleet) -> None:
    """Replace the first version by the second one, whose split is stored."""
    fleet.list_servers('v2')
    fleet.wait(2_000.0)
    fleet.delist('v1')
    fleet.wait(2_000.0)


@pytest.mark.parametrize('ahead_ms', [HOUR_MS, -HOUR_MS])
def test_time_of_day_of_the_reader_does_not_end_a_split(
    fleet: OriginFleet, ahead_ms: float
) -> None:
    # The clock of the instance at which callers take their streams up is ahead of that of the
    # writer: the split of the replaced version seems to be over for long.
    begun = begin_many(fleet)
    release(fleet)
    fleet.restart_all()
    fleet.clocks[fleet.names[1]].ahead_ms = ahead_ms
    assert set(begun.values()) == {V1}
    assert not count_of_joined(fleet, begun)


@pytest.mark.parametrize('ahead_ms', [HOUR_MS, -HOUR_MS])
def test_time_of_day_of_the_writer_does_not_end_a_split(
    fleet: OriginFleet, ahead_ms: float
) -> None:
    for name in fleet.names:
        fleet.clocks[name].ahead_ms = ahead_ms
    begun = begin_many(fleet)
    release(fleet)
    for name in fleet.names:
        fleet.clocks[name].ahead_ms = 0.0
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


@pytest.mark.parametrize('ahead_ms', [HOUR_MS, -HOUR_MS])
def test_time_of_day_does_not_end_an_exception(fleet: OriginFleet, ahead_ms: float) -> None:
    # The servers of the assigned version have left, and streams begin elsewhere; then that version
    # returns.
    fleet.list_servers('v2')
    fleet.wait(2_000.0)
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    begun = begin_many(fleet)
    assert set(begun.values()) == {V2}
    fleet.list_servers('v1')
    fleet.clocks[fleet.names[1]].ahead_ms = ahead_ms
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


def test_stream_of_a_fresh_instance_follows_the_stored_split(fleet: OriginFleet) -> None:
    # All instances start with a list in which the first version is gone, and are lost again before
    # the row names the second one; then the first version returns.
    fleet.delist('v1')
    fleet.list_servers('v2')
    fleet.restart_all()
    begun = begin_many(fleet)
    assert set(begun.values()) == {V2}
    fleet.list_servers('v1')
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


def test_stream_that_began_before_the_first_row_was_written_is_not_assigned() -> None:
    # A service appears with one version, and with a second one before its row is written.
    fleet = OriginFleet(3)
    fleet.list_servers('v1')
    for name in fleet.names:
        fleet.start(name)
    begun = begin_many(fleet)
    fleet.list_servers('v2')
    fleet.wait(2_000.0)
    fleet.restart_all()
    assert set(begun.values()) == {V1}
    assert not count_of_joined(fleet, begun)


def begin_exceptions(fleet: OriginFleet, count: int = 40) -> dict[str, StreamOrigin]:
    """Begin streams at a version that no split names yet."""
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    begun = begin_many(fleet, count)
    assert begun
    assert set(begun.values()) == {V2}
    fleet.list_servers('v1')
    return begun


def test_exception_is_not_dropped_for_a_later_one(fleet: OriginFleet) -> None:
    # More streams begin elsewhere than an instance stores.
    begun = begin_exceptions(fleet, 400)
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


def test_unreadable_exceptions_leave_the_origin_unknown(fleet: OriginFleet) -> None:
    begun = begin_exceptions(fleet)
    put = RowPut(EXCEPTIONS_TABLE, fleet.names[0], b'{"streams": 1}')
    fleet.table.transact(PartTransaction('', puts=(put,)))
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


def test_late_write_does_not_drop_a_later_exception(fleet: OriginFleet) -> None:
    # A write without a response is performed seconds later, after the next one.
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    fleet.table.is_late = True
    rejected = fleet.begin(fleet.names[0], 'request-late')
    late, fleet.table.late = fleet.table.late, []
    fleet.table.is_late = False
    begun = begin_many(fleet)
    fleet.table.late = late
    fleet.table.perform_late()
    fleet.list_servers('v1')
    fleet.restart_all()
    assert rejected is None
    assert set(begun.values()) == {V2}
    assert not count_of_joined(fleet, begun)


def test_stream_whose_exception_may_be_written_late_does_not_begin_elsewhere(
    fleet: OriginFleet,
) -> None:
    # The write gets no response; then the assigned version has servers again.
    fleet.list_servers('v2')
    fleet.delist('v1')
    fleet.sync(fleet.names[0])
    fleet.table.is_late = True
    assert fleet.begin(fleet.names[0], 'request-1') is None
    fleet.list_servers('v1')
    fleet.sync(fleet.names[0])
    origin = fleet.begin(fleet.names[0], 'request-1')
    fleet.table.perform_late()
    fleet.restart_all()
    found = fleet.take_up(fleet.names[1], 'request-1')
    assert origin is None or not found or found == origin


def test_exception_ends_the_inference_from_one_listed_version(fleet: OriginFleet) -> None:
    # A release is rolled back at once: neither the list nor the row names the second version.
    begun = begin_exceptions(fleet)
    fleet.delist('v2')
    fleet.restart_all()
    assert not count_of_joined(fleet, begun)


def test_late_split_is_replaced(fleet: OriginFleet) -> None:
    # The last write of the lost instances is performed after the new ones have read the row. Their
    # streams do not follow it, as its second version is not listed.
    fleet.list_servers('v2')
    fleet.table.is_late = True
    fleet.wait(1_000.0)
    fleet.delist('v2')
    fleet.restart_all()
    late, fleet.table.late, fleet.table.is_late = fleet.table.late, [], False
    fleet.wait(500.0)
    fleet.table.late = late
    fleet.table.perform_late()
    fleet.wait(30_000.0)
    registrar = next(n for n in fleet.names if fleet.books[n].topology.is_first_registrar(SERVICE))
    begun = begin_many(fleet, at=fleet.names.index(registrar))
    fleet.list_servers('v2')
    fleet.restart_all()
    assert set(begun.values()) == {V1}
    assert not count_of_joined(fleet, begun)


def test_streams_under_way_in_a_release_go_on_after_a_loss_of_all(fleet: OriginFleet) -> None:
    # The splits before and after a change name different versions for them.
    fleet.list_servers('v2')
    begun = begin_many(fleet)
    fleet.wait(2_000.0)
    begun |= begin_many(fleet)
    fleet.list_servers('v1', 1)
    fleet.delist('v1')
    fleet.list_servers('v1', 2)
    fleet.wait(1_000.0)
    fleet.restart_all()
    found = {name: fleet.take_up(fleet.names[1], name) for name in begun}
    assert set(begun.values()) == {V1, V2}
    assert all(not origin or origin == begun[name] for name, origin in found.items())
    assert sum(map(bool, found.values())) >= 0.8 * len(begun)


def test_servers_without_a_version_cost_no_read_and_no_write() -> None:
    fleet = OriginFleet(3)
    fleet.list_servers('')
    for name in fleet.names:
        fleet.start(name)
    begun = begin_many(fleet)
    assert (len(begun), fleet.table.version, fleet.table.reads_count) == (40, 0, 0)
