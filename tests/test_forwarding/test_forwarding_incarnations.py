"""A server that starts again under its id is another one."""

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


class Book:
    """One server as one instance knows it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.book = ServerRegistry(context)
        self.notices = LoadNotices(context, self.book)

    def list(self, **more: Any) -> bool:
        """List the server; tell whether a life is over."""
        return bool(self.book.replace([listed_server(A, SERVICE, **more)]).restarted)

    def is_new(self) -> bool:
        state = self.book.state(A)
        assert state is not None
        counts = (state.total_count(self.clock.ms), state.failures_count, state.mean_ms)
        return counts == (0, 0, 0.0) and state.ejected_until_ms <= self.clock.ms

    def wear(self) -> None:
        """Learn something of it in every way there is."""
        state = self.book.state(A)
        assert state is not None
        state.own.online = 2
        state.record_latency(500.0)
        state.record_peer_counts(PEER, 3, 0, self.clock.ms)
        state.record_total(5, 0, self.clock.ms)
        state.record_reported_load(8, 4, self.clock.ms)
        state.record_unreachable(self.clock.ms)
        state.is_misplaced = True


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ({'born_epoch_ms': 1_000, 'seq': 9}, {'born_epoch_ms': 2_000, 'seq': 1}),
        ({'born_epoch_ms': 1_000, 'seq': 1}, {'born_epoch_ms': 2_000, 'seq': 5}),
        ({'seq': 9}, {'seq': 1}),
    ],
)
def test_new_life_starts_clean(first: dict[str, int], second: dict[str, int]) -> None:
    # A server crashes behind a cut and starts again under its id within a heartbeat. Ejected and
    # full by what its earlier life earned, the empty one would get nothing for seconds.
    floor = Book()
    floor.list(**first)
    floor.wear()
    assert not floor.is_new()
    assert floor.list(**second)
    assert floor.is_new()
    assert [state.listed.id for state in floor.book.eligible_servers(SERVICE)] == [A]


@pytest.mark.parametrize('more', [{'born_epoch_ms': 1_000}, {}])
def test_same_life_keeps_what_is_known(more: dict[str, int]) -> None:
    floor = Book()
    floor.list(seq=4, **more)
    floor.wear()
    assert not floor.list(seq=4, is_leaving=True, **more)
    assert not floor.list(seq=7, **more)
    assert not floor.is_new()


def test_entry_that_went_and_came_is_a_new_life() -> None:
    floor = Book()
    floor.list(seq=4)
    floor.wear()
    floor.book.replace([])
    floor.list(seq=4)
    assert floor.is_new()


def test_peers_count_on_an_earlier_life_is_not_one_on_the_next() -> None:
    # A peer's datagram about the earlier life comes after the next one is known. Counted there,
    # an empty server would look full.
    floor = Book()
    floor.list(born_epoch_ms=1_000)
    state = floor.book.state(A)
    assert state is not None
    earlier = server_digest(state.listed)
    floor.list(born_epoch_ms=2_000)
    floor.notices.record_peer_counts(PEER, [ServerLoad(earlier, 8, 0)])
    assert floor.is_new()


def test_request_may_go_to_the_next_life_of_a_server_that_failed_it() -> None:
    floor = Book()
    floor.list(born_epoch_ms=1_000)
    first = floor.book.choose_server(SERVICE, (), '')
    assert first is not None
    assert floor.book.choose_server(SERVICE, {first.incarnation}, '') is None
    floor.list(born_epoch_ms=2_000)
    assert floor.book.choose_server(SERVICE, {first.incarnation}, '') is not None


def lived(version: int, born: int | None, value: str | None = 'up') -> ObservedRow[str]:
    return ObservedRow('a', version, value, born)


def test_late_write_of_an_earlier_life_does_not_bring_it_back() -> None:
    # A write of the earlier life is done seconds late, after the next life's, so that its row has
    # the higher version. Requests would name a life that is over and be turned away with 421.
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([lived(5, 2_000, 'second')], 0.0)
    rows.apply_feed([lived(8, 1_000, 'first')], 1.0)
    assert rows.values() == ['second']
    rows.apply_listing([lived(8, 1_000, 'first')], 9, 2.0)
    assert rows.values() == ['second']
    rows.apply_feed([ObservedRow('a', 10, None)], 3.0)
    rows.apply_feed([lived(11, 1_000, 'first')], 4.0)
    assert rows.values() == []


def test_next_life_counts_though_its_row_is_the_older_one() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([lived(8, 1_000, 'first')], 0.0)
    rows.apply_feed([lived(5, 2_000, 'second')], 1.0)
    assert rows.values() == ['second']


def test_deleted_life_does_not_come_back_by_a_peer() -> None:
    rows: ReplicatedRows[str] = ReplicatedRows(2_200.0)
    rows.apply_feed([lived(5, 1_000)], 0.0)
    rows.apply_feed([ObservedRow('a', 9, None)], 1.0)
    rows.apply_feed([lived(7, 2_000)], 2.0)
    assert rows.values() == []
