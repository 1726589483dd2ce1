"""What a zone reader of the server list publishes, and when followers may rely on it."""

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


def cursor(number: int, *, digest: int = DIGEST, age_ms: float = 0.0) -> ServerListCursor:
    return ServerListCursor('life', number, digest, is_whole=True, age_ms=age_ms)


class TrackerSetup:
    """A follower's tracker and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.tracker = ReaderLeaseTracker(manual_context(self.clock))

    def receive(self, published: ServerListCursor, reader: InstanceId = READER) -> MissingRows:
        return self.tracker.record_cursor(reader, published, DIGEST)


def test_reader_lease_expires_without_messages() -> None:
    setup = TrackerSetup()
    assert setup.receive(cursor(3)) is MissingRows.NOTHING
    setup.clock.ms += LEASE_MS - 1
    assert setup.tracker.is_delegated
    setup.clock.ms += 1
    assert not setup.tracker.is_delegated


def test_leaving_server_is_noticed_in_time_after_the_loss_of_all_readers() -> None:
    # Both readers are lost right after a message. A follower resumes its own feed when the readers'
    # lease has expired and one pause is over. With a store call of 300 ms, its first result must
    # arrive within the 2 s in which leaving servers may still get requests.
    longest_ms = LEASE_MS + 1.2 * FEED_PAUSE_MS + 300.0
    assert longest_ms < 2_000.0


def test_reader_with_a_stale_list_gets_no_delegation() -> None:
    setup = TrackerSetup()
    setup.receive(cursor(3, age_ms=FRESH_MS - 100))
    setup.clock.ms += 100
    assert not setup.tracker.is_delegated
    setup.receive(cursor(3, age_ms=FRESH_MS))
    assert not setup.tracker.is_delegated


def test_second_reader_with_the_same_list_needs_no_request() -> None:
    setup = TrackerSetup()
    setup.receive(cursor(3))
    assert setup.receive(cursor(40), SECOND) is MissingRows.NOTHING
    setup.clock.ms += LEASE_MS
    assert setup.receive(cursor(40), SECOND) is MissingRows.NOTHING
    assert setup.tracker.is_delegated


def test_lost_changes_are_requested_and_a_lasting_difference_as_a_full_list() -> None:
    setup = TrackerSetup()
    assert setup.receive(cursor(3, digest=1)) is MissingRows.EVERYTHING
    setup.tracker.record_changes(READER, 'life', 0, 3)
    assert setup.receive(cursor(4, digest=2)) is MissingRows.CHANGES
    setup.tracker.record_changes(READER, 'life', 3, 4)
    assert setup.receive(cursor(4, digest=2)) is MissingRows.NOTHING
    setup.clock.ms += DIVERGENCE_LIMIT_MS
    # Requested a moment ago; each reply has hundreds of KB.
    assert setup.receive(cursor(4, digest=2)) is MissingRows.NOTHING
    setup.clock.ms += 5_000.0
    assert setup.receive(cursor(4, digest=2)) is MissingRows.EVERYTHING
    assert not setup.tracker.is_delegated


def test_new_incarnation_of_a_reader_resets_the_cursor() -> None:
    setup = TrackerSetup()
    setup.receive(cursor(30))
    published = ServerListCursor('next', 40, 1, is_whole=True)
    setup.clock.ms += LEASE_MS
    assert setup.receive(published) is MissingRows.EVERYTHING


def test_delegation_pays_only_for_many_bytes_and_has_hysteresis() -> None:
    rule = ReaderElection(manual_context())
    assert not rule.is_worthwhile(WORTHWHILE_BYTES // 30 - 1, 30)
    assert rule.is_worthwhile(WORTHWHILE_BYTES // 300 + 1, 300)
    assert rule.is_worthwhile(int(WORTHWHILE_BYTES * STOP_SHARE) // 300 + 1, 300)
    assert not rule.is_worthwhile(int(WORTHWHILE_BYTES * STOP_SHARE) // 300 - 1, 300)


def test_all_instances_elect_the_same_readers_and_a_small_zone_none() -> None:
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
    made: list[tuple[str, str]], published_after: list[int]
) -> None:
    reader: ReplicatedRows[str] = ReplicatedRows(0.0)
    follower: ReplicatedRows[str] = ReplicatedRows(0.0)
    published = 0
    for version, (key, what) in enumerate(made, 1):
        if what == 'list':
            kept = [row for row in reader.rows() if row.key != key]
            reader.apply_listing(kept, version, 0.0)
        else:
            value = 'x' if what == 'put' else None
            reader.apply_feed([ObservedRow(key, version, value)], 0.0)
        if version in published_after:
            follower.apply_feed(reader.changes_since(published) or [], 0.0)
            published = reader.revision
            assert follower.digest == reader.digest
    follower.apply_feed(reader.changes_since(published) or [], 0.0)
    assert follower.digest == reader.digest
    assert sorted(row.key for row in follower.rows()) == sorted(row.key for row in reader.rows())


def test_forgotten_changes_require_the_full_list() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(0.0)
    for number in range(1, 5_000):
        rows.apply_feed([ObservedRow(f'k{number}', 2 * number, 'x')], 0.0)
        rows.apply_feed([ObservedRow(f'k{number}', 2 * number + 1, None)], 0.0)
    assert rows.changes_since(10) is None
    assert rows.changes_since(rows.revision) == []
