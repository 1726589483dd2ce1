"""An instance that cannot follow the server list shows it, and nobody relies on it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NoReturn

import logbook
import msgspec
import pytest

from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.server_list.list_freshness import STALE_AFTER_MS
from citrondyke.decisions.server_list.reader_lease_tracker import ReaderLeaseTracker
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.peers.peer_codec import ListTold, PeerMessage, encode_message
from citrondyke.gateway.peers.server_list_publisher import ServerListPublisher
from citrondyke.gateway.peers.server_list_subscriber import ServerListSubscriber
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.replicated_state import ReplicatedState, RowDecoder
from citrondyke.gateway.replication.table_follower import TableFollower
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import ConfigVersion, InstanceId, ServerId
from citrondyke.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
    SERVERS_TABLE,
    decode_config,
    decode_server,
)
from citrondyke.storage.partitioned_table import PartTransaction, RowPut
from tests.support.flaky_table import FlakyTable
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import server_row


def _raise(*_: object) -> NoReturn:
    raise ZeroDivisionError


class Reader:
    """A reader of the list without loops, and a follower's view of it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = FlakyTable()
        context = manual_context(self.clock)
        self.registry = ServerRegistry(context)
        store = Dependency(self.clock, 'store')
        self.replicated = ReplicatedState(
            context,
            RowDecoder(CONFIG_KEY, decode_config, decode_server),
            self.registry,
            store,
            2_200.0,
            lambda _: None,
            lambda _: None,
        )
        self.follower, config = (
            TableFollower(
                context,
                self.table,
                name,
                store,
                self.replicated.on_server_rows,
                self.replicated.on_server_listing,
                lambda: 1.0,
                self.replicated.on_servers_current,
            )
            for name in (SERVERS_TABLE, CONFIG_TABLE)
        )
        self.publisher = ServerListPublisher(
            context, self.replicated, Metrics(), lambda *_: None, list, tasks := Tasks(self.clock)
        )
        self.publisher.start(config, self.follower)
        tasks.end()
        self.publisher.set_reader(is_reader=True)
        self.tracker = ReaderLeaseTracker(context)

    def put(self, name: str) -> None:
        value = msgspec.json.encode(server_row())
        self.table.transact(PartTransaction('', puts=(RowPut(SERVERS_TABLE, name, value),)))

    def is_lease_granted(self) -> bool:
        """Whether the reader's cursor extends the lease of a follower that has the same list."""
        cursor = self.publisher.cursor()
        self.clock.ms += 1_000.0
        self.tracker.record_cursor(InstanceId('reader'), cursor, cursor.digest)
        return self.tracker.is_delegated


@pytest.fixture
def reader() -> Reader:
    return Reader()


@pytest.fixture
def lines() -> Iterator[logbook.TestHandler]:
    handler = logbook.TestHandler(level=logbook.INFO)
    with handler.applicationbound():
        yield handler


def test_reader_that_cannot_apply_the_list_grants_no_lease(
    reader: Reader, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The store answers each poll of the reader, which fails to apply the answers. If its cursor
    # counted as fresh, its zone would rely on it for as long as the failure lasts.
    reader.put('i-1')
    assert reader.follower.poll_once()
    assert reader.is_lease_granted()
    monkeypatch.setattr(reader.registry, 'apply_list', _raise)
    reader.put('i-2')
    for _ in range(3):
        reader.clock.ms += 600.0
        assert reader.follower.poll_once()
    assert reader.follower.answer_age_ms == 0.0
    assert reader.publisher.cursor().age_ms == 2_800.0
    assert not reader.is_lease_granted()
    monkeypatch.undo()
    assert reader.follower.poll_once()
    assert reader.is_lease_granted()


def test_answer_whose_rows_raise_does_not_make_the_reader_fresh(reader: Reader) -> None:
    # The feed recorded the time of an answer before its rows were applied.
    reader.put('i-1')
    assert reader.follower.poll_once()
    reader.clock.ms += 5_000.0
    reader.follower._on_rows = _raise
    with pytest.raises(ZeroDivisionError):
        reader.follower._on_feed(())
    assert reader.publisher.cursor().age_ms == 5_000.0
    assert not reader.is_lease_granted()


def test_stale_list_is_logged_once_and_when_it_is_fresh(
    reader: Reader, lines: logbook.TestHandler
) -> None:
    # Reads that fail in any way look like an unchanged list.
    reader.put('i-1')
    reader.follower.poll_once()
    for _ in range(3):
        reader.replicated.update_freshness(1.0)
        reader.clock.ms += STALE_AFTER_MS
    reader.follower.poll_once()
    reader.replicated.update_freshness(1.0)
    kinds = [each.message for each in lines.records if each.message in ('list.stale', 'list.fresh')]
    assert kinds == ['list.stale', 'list.fresh']


def test_list_of_a_large_fleet_is_not_stale_between_two_polls(reader: Reader) -> None:
    # Store calls are rarer there: all instances would ask their peers all the time.
    reader.put('i-1')
    reader.follower.poll_once()
    reader.clock.ms += 2 * STALE_AFTER_MS
    reader.replicated.update_freshness(3.0)
    assert not reader.replicated.is_list_stale


def test_instance_whose_follower_fails_asks_its_peers(fleet: GatewayFleet) -> None:
    # The store answers, but neither the reads nor the feed of one instance can apply the answers.
    # Its peer knows that a server leaves.
    failing = fleet.instances[1]
    follower = failing.peers.list_read_delegation._follower
    assert follower is not None
    follower._on_rows = follower._on_listing = follower._on_current = _raise
    fleet.list_server('app-1', 'app', state='draining', seq=2)
    state = failing.book.state(ServerId('app-1'))
    assert state is not None
    wait_until_seen(lambda: state.listed.is_leaving, 'the leaving server')
    assert failing.is_ready
    assert failing.replicated.is_list_stale
    assert 'citrondyke_list_age_ms' in failing.metrics.text()


class Follower:
    """A follower with the list of a reader."""

    def __init__(self, reader: Reader) -> None:
        self.reader = reader
        reader.put('i-1')
        assert reader.follower.poll_once()
        self.message = ListTold(reader.publisher.cursor())
        self.subscriber = ServerListSubscriber(
            manual_context(reader.clock), reader.replicated, Metrics(), self._exchange, Tasks()
        )
        self.subscriber.start(reader.follower, reader.follower)

    def _exchange(self, *_: object) -> PeerMessage:
        """Answer with the list as of now, of which this instance hears seconds later."""
        answer = self.reader.publisher.answer(ServerListCursor('', 0), ConfigVersion(0))
        self.reader.clock.ms += 5_000.0
        return PeerMessage(InstanceId('reader'), ConfigVersion(0), answer)


def test_message_that_waited_while_the_follower_was_frozen_grants_no_lease(reader: Reader) -> None:
    # A frozen instance reads the messages from before first. By them its list would be fresh, and
    # it would not read the store before its next sends.
    follower = Follower(reader)
    reader.clock.ms += 5_000.0
    follower.subscriber.on_message(InstanceId('reader'), '10.0.0.1', follower.message, 5_000.0)
    assert not follower.subscriber.tracker.is_delegated
    assert reader.replicated.list_age_ms == 5_000.0
    follower.subscriber.on_message(InstanceId('reader'), '10.0.0.1', follower.message, 0.0)
    assert follower.subscriber.tracker.is_delegated
    assert reader.replicated.list_age_ms == 0.0


def test_answer_that_waited_while_the_follower_was_frozen_grants_no_lease(reader: Reader) -> None:
    follower = Follower(reader)
    assert follower.subscriber.request(InstanceId('reader'), '10.0.0.1')
    assert not follower.subscriber.tracker.is_delegated
    assert reader.replicated.list_age_ms == 5_000.0


def test_datagram_may_be_as_old_as_the_last_empty_queue(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    sender, receiver = (each.peers for each in fleet.instances)
    waited: list[float] = []
    monkeypatch.setattr(
        receiver.list_read_delegation, 'on_message', lambda *each: waited.append(each[3])
    )
    receiver._drained_ms -= 5_000.0
    data = encode_message(sender._message(ListTold(ServerListCursor('life', 1))))
    receiver._on_datagram(data, '10.0.0.1')
    assert waited[0] >= 5_000.0
    wait_until_seen(lambda: receiver._drained_ms > fleet.clock.now_ms() - 1_000.0, 'an empty queue')
