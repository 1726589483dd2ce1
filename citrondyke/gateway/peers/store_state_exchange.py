"""Exchange of replicated store contents between instances while the store is unreachable."""

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
from citrondyke.gateway.failure_log import FailureLog
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

#: Interval at which a peer's store state is requested while the store does not answer this
#: instance. Like the interval of store calls it is longer in a large fleet, so that the traffic
#: during an outage doesn't grow with the square of the number of instances.
REQUEST_EVERY_MS = 400.0
#: Delay of the first request of a starting instance: longer than the store takes for a
#: configuration and one page of servers, but short, since callers wait for the first restarted
#: instance if the store is down.
FIRST_REQUEST_MS = 150.0
#: After this time without an answer to its calls the store counts as unresponsive.
STORE_UNRESPONSIVE_MS = 700.0
#: A newer configuration is requested from a peer after this time if the store's feed has not
#: delivered it. The feed takes up to 750 ms in the largest fleets, and a configuration of thousands
#: of routes has a size of megabytes.
STALE_AFTER_MS = 1_000.0
#: The server list of a peer that the store answered within this time is complete: servers missing
#: from it no longer exist.
COMPLETE_LIST_MS = 1_500.0
#: Smaller answers are not compressed, since they take few packets anyway.
COMPRESS_FROM_BYTES = 4_096
#: Share of requests that go to the local zone. The others go to any zone, since the store may be
#: unreachable from a whole zone.
LOCAL_ZONE_SHARE = 0.7


class StoreState(msgspec.Struct, frozen=True):
    """Contents of the store that an instance has replicated."""

    #: The configuration as written by the operator, with the keys of accounts: only from instances
    #: of an earlier version, during an upgrade.
    config: bytes
    #: Time since the store confirmed the configuration.
    config_age_ms: float
    servers: list[ObservedRow[ServerListEntry]]
    servers_version: int
    #: Time since the store last answered.
    store_age_ms: float
    #: Empty if the requesting instance knows as many instances.
    peers: dict[InstanceId, Heartbeat]
    #: Requests that were running on servers when they exited.
    suspects: list[SuspectRow] = []
    #: The configuration, with digests of keys; ``None`` if the requesting instance has it already.
    table: RouteTable | None = None
    #: Whether ``servers`` is left out since the requesting instance has the same list.
    has_same_servers: bool = False


class StoreStateExchange:
    """Requests the store state of peers, and answers their requests."""

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
        """Start without a pending request.

        :param seed_ips: returns the addresses to query before any instance is known.
        :param exchange: sends a request to the instance with an IP over a stream.
        :param store_interval_factor: returns the factor by which the intervals between store calls
            are longer than in a small fleet.
        :param is_list_requested: returns whether the first read of the server list currently waits
            for the readers of the zone.
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
        self._failures = FailureLog(context.clock, 'peer.state')

    def start(self) -> None:
        """Start requesting store state whenever the store does not answer."""
        self._tasks.supervise(self._run)

    def record_version(self, version: ConfigVersion, ip: str) -> None:
        """Record a peer's version of the configuration, and request it later if it is newer."""
        self._replicated.config.record_peer_version(version)
        if version > self._replicated.config.table.version and not self._is_requesting:
            self._is_requesting = True
            self._tasks.spawn(self._request_if_stale, version, ip)

    def answer(self, request: KnowledgeWanted, requester_version: ConfigVersion) -> KnowledgeData:
        """Return the store state that the requesting instance lacks."""
        rows, version = self._replicated.server_rows()
        config = self._replicated.config
        has_same = self._replicated.list_digest == request.list_digest != 0
        is_newer = config.table.version > requester_version
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
            peers if len(peers) > request.instances_count else {},
            self._suspects.stored_rows(),
            config.table if is_newer else None,
            has_same,
        )
        data = msgspec.msgpack.encode(state)
        if request.takes_compressed and len(data) >= COMPRESS_FROM_BYTES:
            data = compress_bytes(data)
        return KnowledgeData(data)

    def _run(self) -> None:
        """Query peers while the store does not answer or the list is stale, and at the start."""
        pause_ms = FIRST_REQUEST_MS
        while True:
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)
            pause_ms = REQUEST_EVERY_MS * (
                self._store_interval_factor() if self._replicated.is_complete else 1.0
            )
            # A store that answers is not enough: this instance may fail to apply its answers.
            is_behind = (
                self._store.unanswered_ms >= STORE_UNRESPONSIVE_MS or self._replicated.is_list_stale
            )
            if not is_behind and (self._replicated.is_complete or self._is_list_requested()):
                continue
            candidates = self._candidates()
            if candidates and not self._is_requesting:
                self._is_requesting = True
                self._request(self._context.random.choice(candidates))

    def _candidates(self) -> list[str]:
        peers = self._membership.peers.values()
        local_zone = [heartbeat.ip for heartbeat in peers if heartbeat.zone == self._context.zone]
        if local_zone and self._context.random.random() < LOCAL_ZONE_SHARE:
            return sorted(local_zone)
        return sorted({*self._seed_ips(), *(heartbeat.ip for heartbeat in peers)})

    def _request_if_stale(self, version: ConfigVersion, ip: str) -> None:
        gevent.sleep(self._context.jittered_ms(STALE_AFTER_MS) / 1e3)
        if version <= self._replicated.config.table.version:
            self._is_requesting = False
            return
        self._request(ip)

    def _request(self, ip: str) -> None:
        request = KnowledgeWanted(
            len(self._membership.peers) + 1, self._replicated.list_digest, takes_compressed=True
        )
        try:
            message = self._exchange(ip, request)
            if isinstance(message.text, KnowledgeData):
                state = decode_msgpack(decompress_if_needed(message.text.data), StoreState)
                self._merge(ip, message.config_version, state)
        except (BrokenReplyError, UnreadableBytesError, OSError, ValueError) as error:
            log.info('peer.silent', extra={'ip': ip, 'detail': str(error)[:200]})
        finally:
            self._is_requesting = False

    def _merge(self, ip: str, version: ConfigVersion, state: StoreState) -> None:
        """Merge the parts of a peer's state; a part that fails does not keep the others away."""
        attempt = self._failures.attempt
        attempt('config', self._merge_config, ip, version, state)
        attempt('servers', self._merge_servers, state)
        attempt('instances', self._membership.merge_from_peer, state.peers)
        for row in state.suspects:
            attempt('suspect', self._suspects.merge, row)

    def _merge_config(self, ip: str, version: ConfigVersion, state: StoreState) -> None:
        config = self._replicated.config
        if state.table is not None:
            self._replicated.apply_route_table(state.table, f'peer {ip}')
        elif state.config:
            self._replicated.apply_config(state.config, f'peer {ip}')
        if version == config.table.version:
            config.confirm(self._context.now_ms() - state.config_age_ms)

    def _merge_servers(self, state: StoreState) -> None:
        if state.has_same_servers:
            return
        self._replicated.merge_servers(
            state.servers,
            state.servers_version,
            is_whole=state.store_age_ms < COMPLETE_LIST_MS,
        )
