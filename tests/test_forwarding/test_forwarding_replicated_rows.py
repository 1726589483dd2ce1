"""Rows of the server list under stale reads and after outages."""

from __future__ import annotations

from citrondyke.decisions.forwarding.replicated_rows import ObservedRow, ReplicatedRows

GRACE_MS = 2_200.0


def row(key: str, version: int, value: str | None = 'up') -> ObservedRow[str]:
    return ObservedRow(key, version, value)


def test_stale_read_does_not_restore_a_removed_server() -> None:
    # A server is removed; then a read that is seconds old still shows it. Requests sent there would
    # reach whatever has its address now.
    rows: ReplicatedRows[str] = ReplicatedRows(GRACE_MS)
    rows.apply_listing([row('a', 5), row('b', 6)], 6, 0.0)
    rows.apply_feed([row('a', 7, None)], 10.0)
    rows.apply_listing([row('a', 5), row('b', 6)], 6, 20.0)
    assert [each.key for each in rows.rows()] == ['b']


def test_stale_read_does_not_undo_that_a_server_leaves() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(GRACE_MS)
    rows.apply_feed([row('a', 7, 'leaving')], 0.0)
    rows.apply_listing([row('a', 5, 'up')], 6, 10.0)
    assert rows.values() == ['leaving']


def test_stale_read_without_a_new_server_does_not_drop_it() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(GRACE_MS)
    rows.apply_listing([row('a', 5)], 9, 0.0)
    rows.apply_feed([row('b', 12)], 10.0)
    rows.apply_listing([row('a', 5)], 10, 20.0)
    assert sorted(rows.values()) == ['up', 'up']


def test_servers_that_expired_in_an_outage_get_time_to_return() -> None:
    # The store is down for longer than the servers' entries live. When it returns, the list is
    # empty although all servers work; dropping them would reject every caller for 2 s.
    rows: ReplicatedRows[str] = ReplicatedRows(GRACE_MS)
    rows.apply_listing([row('a', 5), row('b', 6)], 6, 0.0)
    rows.record_outage(5_000.0)
    rows.apply_listing([], 8, 5_100.0)
    rows.drop_missing(5_200.0)
    assert len(rows.values()) == 2
    rows.apply_feed([row('a', 9)], 6_000.0)
    rows.drop_missing(5_000.0 + GRACE_MS)
    assert [each.key for each in rows.rows()] == ['a']


def test_missing_server_is_dropped_at_once_while_the_store_answers() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(GRACE_MS)
    rows.apply_listing([row('a', 5), row('b', 6)], 6, 0.0)
    rows.apply_listing([row('b', 6)], 7, 10.0)
    assert [each.key for each in rows.rows()] == ['b']
