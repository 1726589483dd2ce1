"""Requests wait for one read after the process has stood still, and for none in step."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent.event import Event

from citrondyke.decisions.forwarding.pause_detector import PAUSE_MS
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
from citrondyke.gateway.replication.table_follower import TableFollower
from citrondyke.gateway.tasks import Tasks
from citrondyke.standin.part_table import PartTable
from citrondyke.storage.failure import UNAVAILABLE
from tests.support.manual_clock import ManualClock, manual_context


class _CountedTable(PartTable):
    """Counts the reads; they can be rejected or held up."""

    def __init__(self) -> None:
        super().__init__()
        self.reads_count = 0
        self.is_down = False
        self.is_open = Event()
        self.is_open.set()

    def read(self, table: str, part: str, from_key: str = '', limit: int = 500) -> Any:
        self.reads_count += 1
        self.is_open.wait()
        return UNAVAILABLE if self.is_down else super().read(table, part, from_key, limit)


class Replica:
    """A refresher with its two followers, whose loops don't run."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = _CountedTable()
        context = manual_context(self.clock)
        self.tasks = Tasks()
        self.metrics = Metrics()
        self.refresher = ReplicaRefresher(context, self.metrics, lambda: 1.0, self.tasks)
        store = Dependency(self.clock, 'store')
        self.followers = [
            TableFollower(
                context,
                self.table,
                name,
                store,
                lambda _: None,
                lambda _, __: None,
                lambda: 1.0,
                lambda: None,
            )
            for name in ('config', 'servers')
        ]
        for follower in self.followers:
            assert follower.read_once()
        readers: Any = SimpleNamespace(received_ms=float('-inf'), confirmed_ms=float('-inf'))
        self.refresher.start(self.followers[0], self.followers[1], readers)

    def wait_all(self, count: int) -> list[bool]:
        """Have some requests wait until the replica is current; give which found it stale."""
        waits = [gevent.spawn(self.refresher.wait_until_current) for _ in range(count)]
        return [each.get() for each in waits]


@pytest.fixture
def replica() -> Replica:
    return Replica()


def test_requests_after_a_pause_share_one_read(replica: Replica) -> None:
    # Many requests wait in the sockets of a process that was frozen.
    assert not any(replica.wait_all(10))
    reads_before = replica.table.reads_count
    replica.clock.ms += PAUSE_MS
    assert all(replica.wait_all(10))
    assert replica.table.reads_count == reads_before + 2
    assert not any(replica.wait_all(10))
    assert replica.metrics.counters['requests_held_for_read'] == 10


def test_requests_go_on_if_the_store_rejects_the_read(replica: Replica) -> None:
    replica.table.is_down = True
    replica.clock.ms += PAUSE_MS
    assert all(replica.wait_all(3))
    assert not any(replica.wait_all(3))


def test_requests_go_on_if_the_store_is_silent(replica: Replica) -> None:
    replica.table.is_open.clear()
    replica.clock.ms += PAUSE_MS
    assert all(replica.wait_all(3))
    assert not any(replica.wait_all(3))
    replica.tasks.end()


def test_server_chosen_before_a_pause_gets_nothing_once_it_leaves(replica: Replica) -> None:
    # The process stood still between the choice of a server and the send.
    chosen_ms = replica.clock.fence_ms()
    listed = SimpleNamespace(is_leaving=True, id='app-0')
    leaving: Any = SimpleNamespace(is_delisted=False, listed=listed)
    assert not replica.refresher.has_left(leaving, chosen_ms)
    replica.clock.ms += PAUSE_MS
    assert replica.refresher.has_left(leaving, chosen_ms)
    assert not replica.refresher.has_left(leaving, replica.clock.fence_ms() + 1.0)


def test_list_is_confirmed_by_a_read_that_began_later(replica: Replica) -> None:
    reads_before = replica.table.reads_count
    since_ms = replica.clock.fence_ms() + 1.0
    replica.clock.ms += 1.0
    assert replica.refresher.list_confirmed_ms < since_ms
    assert replica.refresher.confirm_list_since(since_ms)
    assert replica.refresher.confirm_list_since(since_ms)
    assert replica.table.reads_count == reads_before + 1
    replica.table.is_down = True
    assert not replica.refresher.confirm_list_since(since_ms + 1.0)


def test_list_that_cannot_be_applied_holds_nothing_for_long(replica: Replica) -> None:
    # The store answers, but its answer is not in force: items would wait for ever, and the store
    # would be read again for each look at them.
    replica.followers[1]._is_applied = lambda: False
    replica.clock.ms += 2.0 * PAUSE_MS
    reads_count = replica.table.reads_count
    for _ in range(20):
        if replica.refresher.is_stale:
            replica.refresher.request()
        gevent.sleep(0.01)
        replica.clock.ms += 25.0
    assert not replica.refresher.is_stale
    assert replica.table.reads_count - reads_count <= 2
