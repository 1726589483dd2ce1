"""What instances tell each other of the store while it does not answer all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.forwarding.replicated_rows import ObservedRow
from citrondyke.decisions.forwarding.route_table import RouteTable
from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.errors.broken_reply import BrokenReplyError
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.list_codec import compress_bytes, decompress_if_needed
from citrondyke.gateway.peers.membership import Heartbeat
from citrondyke.gateway.peers.peer_codec import (
    KnowledgeData,
    KnowledgeWanted,
    PeerMessage,
    PeerText,
)
from citrondyke.ids import ConfigVersion, InstanceId
from citrondyke.util.decoding import decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.tasks import Tasks

__all__ = ('STORE_UNRESPONSIVE_MS', 'StoreState', 'StoreStateExchange')

log = logbook.Logger(__name__)

#: While the store does not answer this instance, a peer is asked so often what it knows. In a
#: large fleet all ask more rarely, as all call the store more rarely: an outage must not turn
#: into traffic that grows with the square of the instances.
REQUEST_EVERY_MS = 400.0
#: Whoever starts asks so soon: longer than the store takes for a configuration and one page of
#: servers, while callers wait for the first instance that is back where the store is away.
FIRST_REQUEST_MS = 150.0
#: The store counts as out of reach for that when its calls had no answer for so long.
STORE_UNRESPONSIVE_MS = 700.0
#: A peer with a newer configuration is asked for it after so long, if the store's feed has not
#: brought it: it comes within 750 ms in the largest fleets, and thousands of routes are MB.
STALE_AFTER_MS = 1_000.0
#: A peer that heard from the store within this time knows which servers are gone.
COMPLETE_LIST_MS = 1_500.0
#: Smaller answers are sent as they are: they take few packets in any case.
COMPRESS_FROM_BYTES = 4_096
#: Share of the questions that go to the own zone. All of a zone may be cut off from the store.
LOCAL_ZONE_SHARE = 0.7


class StoreState(msgspec.Struct, frozen=True):
    """What an instance knows from the store."""

    #: As the operator wrote it, with the keys of accounts: only from instances of an earlier
    #: version, during an upgrade.
    config: bytes
    #: Time since the store confirmed the configuration.
    config_age_ms: float
    servers: list[ObservedRow[ServerListEntry]]
    servers_version: int
    #: Time since the store last answered.
    store_age_ms: float
    #: Empty where the asking instance knows as many.
    peers: dict[InstanceId, Heartbeat]
    #: Requests under which servers have ended.
    suspects: list[SuspectRow] = []
    #: The configuration, with digests of keys; ``None`` where the asking instance has it already.
    table: RouteTable | None = None
    #: The asking instance has the same list of servers, which is left out.
    has_same_servers: bool = False


class StoreStateExchange:
    """Asks peers, and answers them."""

    def __init__(
        self,
        context: Context,
        seed_ips: Callable[[], tuple[str, ...]],
        membership: Membership,
        replicated: ReplicatedState,
        store: Dependency,
        suspects: SuspectRegistry,
        exchange: Callable[[str, PeerText], PeerMessage],
        store_interval_factor: Callable[[], float],
        is_list_requested: Callable[[], bool],
        tasks: Tasks,
    ) -> None:
        """Use the parts handed in.

        :param seed_ips: gives instances to ask before any is known.
        :param exchange: asks the instance with an IP over a stream.
        :param pace: gives the factor by which calls are rarer than in a small fleet.
        :param is_list_requested: tells whether readers of the zone are asked at this moment.
        """
        self._context = context
        self._seed_ips = seed_ips
        self._membership = membership
        self._replicated = replicated
        self._store = store
        self._suspects = suspects
        self._exchange = exchange
        self._store_interval_factor = store_interval_factor
        self._is_list_requested = is_list_requested
        self._tasks = tasks
        self._is_requesting = False

    def start(self) -> None:
        """Begin to ask when there is need."""
        self._tasks.supervise(self._run)

    def record_version(self, version: ConfigVersion, ip: str) -> None:
        """Take in which configuration a peer has."""
        self._replicated.config.record_peer_version(version)
        if version > self._replicated.config.table.version and not self._is_requesting:
            self._is_requesting = True
            self._tasks.spawn(self._request_if_stale, version, ip)

    def answer(self, wanted: KnowledgeWanted, asker_version: ConfigVersion) -> KnowledgeData:
        """Tell what this instance knows beyond the asking one."""
        rows, version = self._replicated.server_rows()
        config = self._replicated.config
        has_same = self._replicated.list_digest == wanted.list_digest != 0
        is_newer = config.table.version > asker_version
        peers = {
            **self._membership.peers,
            self._context.instance_id: self._membership.own_heartbeat(),
        }
        state = StoreState(
            b'',
            config.age_ms(self._context.now_ms()),
            [] if has_same else rows,
            version,
            self._store.answer_age_ms,
            peers if len(peers) > wanted.instances_count else {},
            self._suspects.stored_rows(),
            config.table if is_newer else None,
            has_same,
        )
        data = msgspec.msgpack.encode(state)
        if wanted.takes_compressed and len(data) >= COMPRESS_FROM_BYTES:
            data = compress_bytes(data)
        return KnowledgeData(data)

    def _run(self) -> None:
        """Ask peers while the store does not answer, or before it first has."""
        pause_ms = FIRST_REQUEST_MS
        while True:
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)
            pause_ms = REQUEST_EVERY_MS * (
                self._store_interval_factor() if self._replicated.is_complete else 1.0
            )
            is_silent = self._store.unanswered_ms >= STORE_UNRESPONSIVE_MS
            if not is_silent and (self._replicated.is_complete or self._is_list_requested()):
                continue
            candidates = self._candidates()
            if candidates and not self._is_requesting:
                self._is_requesting = True
                self._request(self._context.random.choice(candidates))

    def _candidates(self) -> list[str]:
        peers = self._membership.peers.values()
        near = [heartbeat.ip for heartbeat in peers if heartbeat.zone == self._context.zone]
        if near and self._context.random.random() < LOCAL_ZONE_SHARE:
            return sorted(near)
        return sorted({*self._seed_ips(), *(heartbeat.ip for heartbeat in peers)})

    def _request_if_stale(self, version: ConfigVersion, ip: str) -> None:
        gevent.sleep(self._context.jittered_ms(STALE_AFTER_MS) / 1e3)
        if version <= self._replicated.config.table.version:
            self._is_requesting = False
            return
        self._request(ip)

    def _request(self, ip: str) -> None:
        wanted = KnowledgeWanted(
            len(self._membership.peers) + 1, self._replicated.list_digest, takes_compressed=True
        )
        try:
            message = self._exchange(ip, wanted)
            if isinstance(message.text, KnowledgeData):
                state = decode_msgpack(decompress_if_needed(message.text.data), StoreState)
                self._merge(ip, message.config_version, state)
        except (BrokenReplyError, UnreadableBytesError, OSError, ValueError) as error:
            log.info('peer.silent', extra={'ip': ip, 'detail': str(error)[:200]})
        finally:
            self._is_requesting = False

    def _merge(self, ip: str, version: ConfigVersion, state: StoreState) -> None:
        config = self._replicated.config
        if state.table is not None:
            self._replicated.apply_route_table(state.table, f'peer {ip}')
        elif state.config:
            self._replicated.apply_config(state.config, f'peer {ip}')
        if version == config.table.version:
            config.confirm(self._context.now_ms() - state.config_age_ms)
        if not state.has_same_servers:
            self._replicated.merge_servers(
                state.servers,
                state.servers_version,
                is_whole=state.store_age_ms < COMPLETE_LIST_MS,
            )
        self._membership.merge_from_peer(state.peers)
        for row in state.suspects:
            self._suspects.merge(row)
