"""Tests that a large table is followed by its changes, with rare full reads."""

from __future__ import annotations

import pytest

from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.table_follower import (
    DELEGATED_FULL_READ_FACTOR,
    FULL_READS_BYTES_PER_S,
    REREAD_WINDOW_MS,
    TableFollower,
)
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    ChangeBatch,
    Listing,
    PartRow,
    PartTransaction,
    RowPut,
)
from tests.support.flaky_table import FlakyTable
from tests.support.manual_clock import ManualClock, manual_context

LARGE = b'x' * 350_000


class _CountedTable(FlakyTable):
    """Counts the bytes that it returns."""

    def __init__(self) -> None:
        super().__init__()
        self.shown_bytes = 0
        self.hides_changes = False

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        shown = super().read(table, part, from_key, limit)
        self._count(shown)
        return shown

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        shown = super().follow(table, after_version, wait_ms)
        if self.hides_changes and isinstance(shown, ChangeBatch):
            return ChangeBatch((), shown.version)
        self._count(shown)
        return shown

    def _count(self, shown: Listing | ChangeBatch | PlatformFailure) -> None:
        if not isinstance(shown, PlatformFailure):
            self.shown_bytes += sum(len(row.value or b'') for row in shown.rows)


class Follower:
    """A follower of one table without its loops."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = _CountedTable()
        self.seen: list[bytes | None] = []
        self.current_count = 0
        self.is_applied = True
        self.follower = TableFollower(
            manual_context(self.clock),
            self.table,
            'config',
            Dependency(self.clock, 'store'),
            self._record_rows,
            lambda rows, _: self._record_rows(tuple(rows)),
            lambda: 1.0,
            self._record_current,
            is_applied=lambda: self.is_applied,
        )

    def put(self, value: bytes, key: str = 'all') -> None:
        self.table.transact(PartTransaction('', puts=(RowPut('config', key, value),)))

    def _record_rows(self, rows: tuple[PartRow, ...]) -> None:
        self.seen += [row.value for row in rows]

    def _record_current(self) -> None:
        self.current_count += 1


@pytest.fixture
def follower() -> Follower:
    return Follower()


def test_unchanged_configuration_is_not_read_repeatedly(follower: Follower) -> None:
    # A configuration of 1,400 routes has 350 KB. If 195 instances read it every 3 s although
    # nothing has changed, the store sends 23 MB/s.
    follower.put(LARGE)
    for _ in range(20):
        assert follower.follower.poll_once()
        follower.clock.ms += 1_000.0
    assert follower.table.shown_bytes == len(LARGE)
    assert follower.current_count == 19
    follower.clock.ms += len(LARGE) / FULL_READS_BYTES_PER_S * 1e3
    follower.follower.poll_once()
    assert follower.table.shown_bytes == 2 * len(LARGE)


def test_response_that_was_not_applied_is_no_evidence_of_the_age(follower: Follower) -> None:
    # An instance whose list can't be applied would take it for the current one, since the store
    # has answered, and send requests to servers that left.
    follower.put(LARGE)
    follower.follower.poll_once()
    confirmed_ms = follower.follower.evidence.confirmed_ms
    follower.is_applied = False
    follower.clock.ms += 1_000.0
    for read in (follower.follower.poll_once, follower.follower.read_once):
        assert read()
        assert follower.follower.evidence.confirmed_ms == confirmed_ms
    follower.is_applied = True
    assert follower.follower.poll_once()
    assert follower.follower.evidence.confirmed_ms > confirmed_ms


def test_change_is_read_without_a_full_read(follower: Follower) -> None:
    follower.put(LARGE)
    follower.follower.poll_once()
    follower.put(b'next')
    follower.follower.poll_once()
    assert follower.seen == [LARGE, b'next']


def test_lost_history_causes_a_full_read(follower: Follower) -> None:
    # The store drops its history while this instance has not read the latest change.
    follower.put(LARGE)
    follower.follower.poll_once()
    follower.put(b'next')
    follower.table.forget_history()
    assert follower.follower.poll_once()
    assert follower.seen[-1] == b'next'


def test_change_that_the_feed_hides_is_found_by_the_next_poll(
    follower: Follower,
) -> None:
    # The store hides a change for a second while it reports a later version.
    follower.put(LARGE)
    follower.follower.poll_once()
    follower.put(b'next')
    follower.table.hides_changes = True
    follower.follower.poll_once()
    follower.table.hides_changes = False
    follower.follower.poll_once()
    assert follower.seen[-1] == b'next'


def test_list_with_frequent_changes_is_not_read_in_full(
    follower: Follower,
) -> None:
    # Of 3,000 servers some start, drain or warm up in each second. If 300 instances read all 700 KB
    # every 3 s, the store sends 70 MB/s, and the instances spend their time on it.
    for number in range(1_400):
        follower.put(b'x' * 250, f'server-{number:05d}')
    follower.follower.poll_once()
    whole_bytes = follower.table.shown_bytes
    for number in range(20):
        follower.put(b'y' * 250, f'server-{number:05d}')
        follower.clock.ms += 1_000.0
        assert follower.follower.poll_once()
    assert follower.seen[-1] == b'y' * 250
    polls_bytes = follower.table.shown_bytes - whole_bytes
    # Each change is returned by all polls of the following five seconds.
    assert polls_bytes <= 20 * 250 * (REREAD_WINDOW_MS / 1e3 + 1)


def test_change_that_is_hidden_while_newer_ones_are_shown_is_found(
    follower: Follower,
) -> None:
    # The store hides a change for a moment and returns a newer one meanwhile. A poll after the
    # newer one would never return the first.
    follower.put(LARGE)
    follower.follower.poll_once()
    follower.clock.ms += 10_000.0
    follower.follower.poll_once()
    follower.put(b'hidden', 'a')
    follower.table.hides_changes = True
    follower.clock.ms += 1_000.0
    follower.follower.poll_once()
    follower.table.hides_changes = False
    follower.clock.ms += 1_000.0
    follower.follower.poll_once()
    assert follower.seen[-1] == b'hidden'


def test_first_pages_are_delivered_before_the_last(follower: Follower) -> None:
    # All instances start at once and each reads a list of six pages. The first page is enough to
    # serve the first caller.
    for number in range(1_200):
        follower.put(b'x', f'server-{number:05d}')
    seen_counts = []
    read = follower.table.read

    def read_and_count(
        table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        seen_counts.append(len(follower.seen))
        return read(table, part, from_key, limit)

    follower.table.read = read_and_count  # type: ignore[method-assign]
    follower.follower.poll_once()
    assert seen_counts == [0, 500, 1_000]
    assert len(follower.seen) == 1_000 + 1_200


def test_instance_that_loses_its_readers_polls_for_changes_only(follower: Follower) -> None:
    # Both delegate readers of a zone are lost. If 73 instances each read 700 KB then, the load that
    # delegation saves would come back at once.
    follower.put(LARGE)
    follower.follower.adopt(follower.table.version, len(LARGE))
    follower.put(b'next')
    assert follower.follower.poll_once()
    assert follower.seen == [b'next']
    assert follower.table.shown_bytes < len(LARGE)


def test_delegated_list_is_still_read_in_full_occasionally(follower: Follower) -> None:
    follower.put(LARGE)
    follower.follower.adopt(follower.table.version, len(LARGE))
    follower.clock.ms += (
        1.5 * DELEGATED_FULL_READ_FACTOR * len(LARGE) / FULL_READS_BYTES_PER_S * 1e3
    )
    assert follower.follower.poll_once()
    assert follower.table.shown_bytes == len(LARGE)


def test_change_that_was_hidden_from_a_lost_reader_is_found(
    follower: Follower,
) -> None:
    # The store hides a change from the reader whose version was adopted, and the reader is lost
    # before it rereads the recent changes.
    follower.put(LARGE)
    settled = follower.table.version
    follower.put(b'hidden', 'a')
    follower.put(b'shown', 'b')
    follower.follower.adopt(settled, len(LARGE))
    follower.follower.poll_once()
    assert b'hidden' in follower.seen
