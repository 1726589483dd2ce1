"""A server that restarts under its id is a new incarnation."""

from __future__ import annotations

from typing import Any

import pytest

from citrondyke.decisions.forwarding.load_notices import LoadNotices, ServerLoad
from citrondyke.decisions.forwarding.replicated_rows import ObservedRow, ReplicatedRows
from citrondyke.decisions.forwarding.server_registry import ServerRegistry, server_digest
from citrondyke.ids import InstanceId, ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

PEER = InstanceId('instance-1')
SERVICE = ServiceName('s')
A = ServerId('a')


class KnownServer:
    """One server as one instance knows it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.registry = ServerRegistry(context)
        self.notices = LoadNotices(context, self.registry)

    def list(self, **more: Any) -> bool:
        """List the server; return whether an earlier incarnation ended."""
        return bool(self.registry.replace([listed_server(A, SERVICE, **more)]).restarted)

    def is_new(self) -> bool:
        state = self.registry.state(A)
        assert state is not None
        counts = (state.total_count(self.clock.ms), state.failures_count, state.mean_ms)
        return counts == (0, 0, 0.0) and state.ejected_until_ms <= self.clock.ms

    def record_everything(self) -> None:
        """Record every kind of observation of the server."""
        state = self.registry.state(A)
        assert state is not None
        state.own.online = 2
        state.record_latency(500.0)
        state.record_peer_counts(PEER, 3, 0, self.clock.ms)
        state.record_total(5, 0, self.clock.ms)
        state.record_reported_load(8, 4, self.clock.ms)
        state.record_unreachable(self.clock.ms)
        state.record_misplaced(self.clock.ms)


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ({'born_epoch_ms': 1_000, 'seq': 9}, {'born_epoch_ms': 2_000, 'seq': 1}),
        ({'born_epoch_ms': 1_000, 'seq': 1}, {'born_epoch_ms': 2_000, 'seq': 5}),
        ({'seq': 9}, {'seq': 1}),
    ],
)
def test_new_incarnation_starts_without_history(
    first: dict[str, int], second: dict[str, int]
) -> None:
    # A server crashes while partitioned and restarts under its id within a heartbeat. With the
    # ejection and the load of its earlier incarnation, the empty server would get no requests for
    # seconds.
    known = KnownServer()
    known.list(**first)
    known.record_everything()
    assert not known.is_new()
    assert known.list(**second)
    assert known.is_new()
    assert [state.listed.id for state in known.registry.eligible_servers(SERVICE)] == [A]


@pytest.mark.parametrize('more', [{'born_epoch_ms': 1_000}, {}])
def test_same_incarnation_keeps_its_history(more: dict[str, int]) -> None:
    known = KnownServer()
    known.list(seq=4, **more)
    known.record_everything()
    assert not known.list(seq=4, is_leaving=True, **more)
    assert not known.list(seq=7, **more)
    assert not known.is_new()


def test_entry_that_is_removed_and_added_is_a_new_incarnation() -> None:
    known = KnownServer()
    known.list(seq=4)
    known.record_everything()
    known.registry.replace([])
    known.list(seq=4)
    assert known.is_new()


def test_peer_count_of_an_earlier_incarnation_is_ignored() -> None:
    # A peer's datagram about the earlier incarnation arrives after the next one is known. If it
    # counted, an empty server would look full.
    known = KnownServer()
    known.list(born_epoch_ms=1_000)
    state = known.registry.state(A)
    assert state is not None
    earlier = server_digest(state.listed)
    known.list(born_epoch_ms=2_000)
    known.notices.record_peer_counts(PEER, [ServerLoad(earlier, 8, 0)])
    assert known.is_new()


def test_request_may_go_to_the_next_incarnation_of_a_server_that_failed_it() -> None:
    known = KnownServer()
    known.list(born_epoch_ms=1_000)
    first = known.registry.choose_server(SERVICE, (), '')
    assert first is not None
    assert known.registry.choose_server(SERVICE, {first.incarnation}, '') is None
    known.list(born_epoch_ms=2_000)
    assert known.registry.choose_server(SERVICE, {first.incarnation}, '') is not None


def row_of(version: int, born: int | None, value: str | None = 'up') -> ObservedRow[str]:
    return ObservedRow('a', version, value, born)


def test_late_write_of_an_earlier_incarnation_does_not_restore_it() -> None:
    # A write of the earlier incarnation takes effect seconds late, after the next one's, so that
    # its row has the higher version. Requests would name an incarnation that has ended and be
    # rejected with 421.
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([row_of(5, 2_000, 'second')], 0.0)
    rows.apply_feed([row_of(8, 1_000, 'first')], 1.0)
    assert rows.values() == ['second']
    rows.apply_listing([row_of(8, 1_000, 'first')], 9, 2.0)
    assert rows.values() == ['second']
    rows.apply_feed([ObservedRow('a', 10, None)], 3.0)
    rows.apply_feed([row_of(11, 1_000, 'first')], 4.0)
    assert rows.values() == []


def test_next_incarnation_counts_although_its_row_is_older() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([row_of(8, 1_000, 'first')], 0.0)
    rows.apply_feed([row_of(5, 2_000, 'second')], 1.0)
    assert rows.values() == ['second']


def test_deleted_incarnation_is_not_restored_by_a_peer() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([row_of(5, 1_000)], 0.0)
    rows.apply_feed([ObservedRow('a', 9, None)], 1.0)
    rows.apply_feed([row_of(7, 2_000)], 2.0)
    assert rows.values() == []
