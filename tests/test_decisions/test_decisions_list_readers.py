"""What a reader of the list of servers tells, and when a follower may rely on it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.forwarding.replicated_rows import ObservedRow, ReplicatedRows
from citrondyke.decisions.server_list.reader_election import (
    STOP_SHARE,
    WORTHWHILE_BYTES,
    ReaderElection,
)
from citrondyke.decisions.server_list.reader_lease_tracker import (
    DIVERGENCE_LIMIT_MS,
    FRESH_MS,
    LEASE_MS,
    MissingRows,
    ReaderLeaseTracker,
)
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.gateway.replication.change_feed import FEED_PAUSE_MS
from citrondyke.ids import InstanceId
from tests.support.manual_clock import ManualClock, manual_context

READER, SECOND = InstanceId('reader'), InstanceId('second')
DIGEST = 7


def position(number: int, *, digest: int = DIGEST, age_ms: float = 0.0) -> ServerListCursor:
    return ServerListCursor('life', number, digest, is_whole=True, age_ms=age_ms)


class Listening:
    """A follower's watch and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.watch = ReaderLeaseTracker(manual_context(self.clock))

    def hear(self, told: ServerListCursor, reader: InstanceId = READER) -> MissingRows:
        return self.watch.record_cursor(reader, told, DIGEST)


def test_reader_covers_until_it_is_silent() -> None:
    at = Listening()
    assert at.hear(position(3)) is MissingRows.NOTHING
    at.clock.ms += LEASE_MS - 1
    assert at.watch.is_delegated
    at.clock.ms += 1
    assert not at.watch.is_delegated


def test_a_server_that_leaves_is_heard_of_in_time_though_the_readers_are_gone() -> None:
    # Both readers are lost right after a word. A follower's own feed goes on when their word has
    # lapsed and one pause is over; its first answer must come within the 2 s in which servers that
    # leave may still get requests, with a call of a store that takes 300 ms.
    longest_ms = LEASE_MS + 1.2 * FEED_PAUSE_MS + 300.0
    assert longest_ms < 2_000.0


def test_reader_without_word_from_the_store_covers_nobody() -> None:
    at = Listening()
    at.hear(position(3, age_ms=FRESH_MS - 100))
    at.clock.ms += 100
    assert not at.watch.is_delegated
    at.hear(position(3, age_ms=FRESH_MS))
    assert not at.watch.is_delegated


def test_second_reader_with_the_same_list_covers_without_a_question() -> None:
    at = Listening()
    at.hear(position(3))
    assert at.hear(position(40), SECOND) is MissingRows.NOTHING
    at.clock.ms += LEASE_MS
    assert at.hear(position(40), SECOND) is MissingRows.NOTHING
    assert at.watch.is_delegated


def test_lost_changes_are_asked_for_and_a_list_that_differs_for_long_as_a_whole() -> None:
    at = Listening()
    assert at.hear(position(3, digest=1)) is MissingRows.EVERYTHING
    at.watch.record_changes(READER, 'life', 0, 3)
    assert at.hear(position(4, digest=2)) is MissingRows.CHANGES
    at.watch.record_changes(READER, 'life', 3, 4)
    assert at.hear(position(4, digest=2)) is MissingRows.NOTHING
    at.clock.ms += DIVERGENCE_LIMIT_MS
    # Asked for a moment ago; each question brings hundreds of KB.
    assert at.hear(position(4, digest=2)) is MissingRows.NOTHING
    at.clock.ms += 5_000.0
    assert at.hear(position(4, digest=2)) is MissingRows.EVERYTHING
    assert not at.watch.is_delegated


def test_next_life_of_a_reader_counts_anew() -> None:
    at = Listening()
    at.hear(position(30))
    told = ServerListCursor('next', 40, 1, is_whole=True)
    at.clock.ms += LEASE_MS
    assert at.hear(told) is MissingRows.EVERYTHING


def test_few_bytes_are_read_by_everybody_and_the_rule_does_not_flap() -> None:
    rule = ReaderElection(manual_context())
    assert not rule.is_worthwhile(WORTHWHILE_BYTES // 30 - 1, 30)
    assert rule.is_worthwhile(WORTHWHILE_BYTES // 300 + 1, 300)
    assert rule.is_worthwhile(int(WORTHWHILE_BYTES * STOP_SHARE) // 300 + 1, 300)
    assert not rule.is_worthwhile(int(WORTHWHILE_BYTES * STOP_SHARE) // 300 - 1, 300)


def test_all_choose_the_same_readers_and_a_small_zone_none() -> None:
    rule = ReaderElection(manual_context())
    members = [InstanceId(f'instance-{number}') for number in range(75)]
    readers = rule.elect_readers(members)
    assert readers == rule.elect_readers(reversed(members))
    assert len(readers) == 2
    assert rule.elect_readers([each for each in members if each != readers[0]])[0] == readers[1]
    assert rule.elect_readers(members[:4]) == []


changes = st.lists(
    st.tuples(st.sampled_from('abcde'), st.sampled_from(['put', 'drop', 'list'])), max_size=30
)


@given(changes, st.lists(st.integers(0, 29), max_size=6))
def test_follower_of_changes_has_the_readers_list(
    made: list[tuple[str, str]], told_after: list[int]
) -> None:
    reader: ReplicatedRows[str] = ReplicatedRows(0.0)
    follower: ReplicatedRows[str] = ReplicatedRows(0.0)
    told = 0
    for version, (key, what) in enumerate(made, 1):
        if what == 'list':
            kept = [row for row in reader.rows() if row.key != key]
            reader.apply_listing(kept, version, 0.0)
        else:
            value = 'x' if what == 'put' else None
            reader.apply_feed([ObservedRow(key, version, value)], 0.0)
        if version in told_after:
            follower.apply_feed(reader.changes_since(told) or [], 0.0)
            told = reader.revision
            assert follower.digest == reader.digest
    follower.apply_feed(reader.changes_since(told) or [], 0.0)
    assert follower.digest == reader.digest
    assert sorted(row.key for row in follower.rows()) == sorted(row.key for row in reader.rows())


def test_changes_that_are_forgotten_are_told_as_a_whole() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(0.0)
    for number in range(1, 5_000):
        rows.apply_feed([ObservedRow(f'k{number}', 2 * number, 'x')], 0.0)
        rows.apply_feed([ObservedRow(f'k{number}', 2 * number + 1, None)], 0.0)
    assert rows.changes_since(10) is None
    assert rows.changes_since(rows.revision) == []
