"""The origins of a fleet's streams, exchanged without a network."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.streams.stream_origin import StreamOrigin, UnknownOrigin, stream_key
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.peers.peer_codec import OriginAsked, OriginTold, PeerText, StreamOrigins
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.list_evidence import ListEvidence
from citrondyke.gateway.streams.origin_exchange import OriginExchange
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import (
    AvailabilityZone,
    InstanceId,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from citrondyke.platform.rows import decode_config
from citrondyke.standin.part_table import PartTable
from citrondyke.storage.failure import AMBIGUOUS, UNAVAILABLE
from citrondyke.storage.partitioned_table import PartTransaction
from tests.support.gateway import HOST, route
from tests.support.manual_clock import ManualClock
from tests.support.peers import listed_server

__all__ = ('SERVICE', 'TABLE', 'V1', 'V2', 'OriginFleet')

SERVICE = ServiceName('lm')
ZONES = ('zone-a', 'zone-b', 'zone-c')
TIMEOUT_MS = 5_000.0
TABLE = decode_config(
    msgspec.json.encode(
        {'version': 1, 'routes': [route('stream', 'streaming', 'lm', resumable=True)]}
    )
)


class FaultyTable(PartTable):
    """A store that can be away, or perform writes late."""

    is_away = False
    #: Whether writes get no response and are performed later, if their conditions still hold.
    is_late = False

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.late: list[PartTransaction] = []
        self.reads_count = 0

    def transact(self, transaction: PartTransaction) -> Any:
        if self.is_away:
            return UNAVAILABLE
        if self.is_late:
            self.late.append(transaction)
            return AMBIGUOUS
        return super().transact(transaction)

    def read(self, table: str, part: str, from_key: str = '', limit: int = 500) -> Any:
        self.reads_count += 1
        return UNAVAILABLE if self.is_away else super().read(table, part, from_key, limit)

    def perform_late(self) -> None:
        """Perform the late writes."""
        self.is_late = False
        for transaction in self.late:
            super().transact(transaction)
        self.late.clear()


class MachineClock(ManualClock):
    """Runs with another clock, but has a time of day of its own."""

    def __init__(self, shared: ManualClock) -> None:
        self._shared = shared
        self.ahead_ms = 0.0

    @property
    def ms(self) -> float:  # type: ignore[override]
        return self._shared.ms

    def epoch_ms(self) -> float:
        return self._shared.epoch_ms() + self.ahead_ms


class WaitTasks(Tasks):
    """Leaves what runs for ever to the test, which stops it with its instance."""

    def supervise(self, work: Any) -> None:
        """Do nothing."""


class SyncedList(ListEvidence):
    """The list of an instance, read from the store by the test."""

    def __init__(self, fleet: OriginFleet, name: InstanceId) -> None:
        self._fleet = fleet
        self._name = name
        self.read_ms = float('-inf')

    @property
    def list_confirmed_ms(self) -> float:
        return self.read_ms

    def confirm_list_since(self, since_ms: float) -> bool:
        if self.read_ms < since_ms:
            self._fleet.sync(self._name)
        return self.read_ms >= since_ms


class OriginFleet:
    """The origins of a fleet's streams, exchanged without a network."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.table = FaultyTable(self.clock)
        self.names = [InstanceId(f'edge-{number}') for number in range(count)]
        self.clocks = {name: MachineClock(self.clock) for name in self.names}
        self.listed: dict[str, ServerListEntry] = {}
        #: Versions that were ever listed.
        self.versions: list[str] = []
        self.live: dict[InstanceId, OriginExchange] = {}
        self.lists: dict[InstanceId, SyncedList] = {}
        self.books: dict[InstanceId, ServerRegistry] = {}
        self.sent_count = 0
        self.loss_share = 0.0
        #: Instances that exchange messages among themselves only.
        self.cut_off: set[InstanceId] = set()
        #: Instances that the store does not answer.
        self.without_store: set[InstanceId] = set()

    def list_servers(self, version: str, count: int = 3) -> None:
        self.versions.append(version)
        for number in range(count):
            name = f'{version}-{number}'
            stated = SoftwareVersion(version)
            self.listed[name] = listed_server(name, SERVICE, software_version=stated)

    def delist(self, version: str) -> None:
        for name in [each for each in self.listed if each.startswith(f'{version}-')]:
            del self.listed[name]

    def start(self, name: InstanceId) -> None:
        number = self.names.index(name)
        zone = AvailabilityZone(ZONES[number % 3])
        context = Context(name, zone, self.clocks[name], Random(number))
        self.lists[name] = SyncedList(self, name)
        book = self.books[name] = ServerRegistry(context)
        zones = {each: ZONES[n % 3] for n, each in enumerate(self.names) if each != name}
        book.topology.replace(zones)  # type: ignore[arg-type]
        config = ReplicatedConfig()
        config.update_if_newer(TABLE)
        exchange = self.live[name] = OriginExchange(
            context,
            book,
            config,
            Dependency(self.clocks[name], 'store'),
            self.table,
            lambda: True,
            self.lists[name],
            Metrics(),
            WaitTasks(),
        )
        exchange.start(
            lambda text, to: self.deliver(name, text, to),
            lambda peer, asked: self.ask(name, peer, asked),
        )
        self.sync(name)

    def kill(self, name: InstanceId) -> None:
        self.live.pop(name)

    def restart_all(self) -> None:
        """Kill all instances at once, and start them."""
        for name in list(self.live):
            self.kill(name)
        for name in self.names:
            self.start(name)

    def reaches(self, sender: InstanceId, recipient: InstanceId) -> bool:
        is_same_side = (sender in self.cut_off) == (recipient in self.cut_off)
        return is_same_side and recipient in self.live

    def deliver(self, sender: InstanceId, text: PeerText, recipients: list[InstanceId]) -> None:
        assert isinstance(text, StreamOrigins)
        self.sent_count += len(recipients)
        for recipient in recipients:
            if self.reaches(sender, recipient) and self.random.random() >= self.loss_share:
                self.live[recipient].on_records(text)

    def ask(self, asker: InstanceId, peer: InstanceId, asked: OriginAsked) -> OriginTold | None:
        return self.live[peer].answer(asked) if self.reaches(asker, peer) else None

    def sync(self, name: InstanceId) -> None:
        if not self.table.is_away and name not in self.without_store:
            self.lists[name].read_ms = self.clock.fence_ms()
            self.books[name].replace(list(self.listed.values()))

    def wait(self, wait_ms: float) -> None:
        """Let time pass; the lists of all become current and the rows are written."""
        until_ms = self.clock.ms + wait_ms
        while self.clock.ms < until_ms:
            self.clock.ms = min(until_ms, self.clock.ms + 250.0)
            for name, exchange in self.live.items():
                self.sync(name)
                exchange.update()
                exchange.versions.check_all()
                exchange.save_uncertain()

    def forwarded(self, request_id: str, begun_by: str | None = None) -> Any:
        metadata = SimpleNamespace(
            request_id=request_id, begun_by=begun_by, last_event_id=1, within_ms=TIMEOUT_MS
        )
        return SimpleNamespace(
            metadata=metadata,
            route=TABLE.routes[0],
            request=SimpleNamespace(host=HOST, path='/stream/x'),
            stream_id=RequestId(begun_by or request_id),
        )

    def begin(self, at: InstanceId, request_id: str) -> StreamOrigin | None:
        forwarded = self.forwarded(request_id)
        assigned = self.live[at].assigned_origin(forwarded, SERVICE)
        origin = assigned if isinstance(assigned, StreamOrigin) else None
        state = self.books[at].choose_server(SERVICE, (), '', origin=origin)
        state = state or self.books[at].choose_server(SERVICE, (), '')
        if state is None or not self.live[at].may_begin(forwarded, state.listed.origin):
            return None
        self.live[at].record(forwarded, state.listed.origin)
        return state.listed.origin

    def holds(self, name: InstanceId, request_id: str) -> bool:
        asked = OriginAsked(stream_key(RequestId(request_id)), [SERVICE])
        return self.live[name].answer(asked).origin is not None

    def take_up(self, at: InstanceId, begun_by: str | None) -> StreamOrigin | UnknownOrigin:
        return self.live[at].resolve(self.forwarded('next', begun_by))


V1, V2 = (StreamOrigin(SERVICE, SoftwareVersion(name)) for name in ('v1', 'v2'))
