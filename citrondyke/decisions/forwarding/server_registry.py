"""All backend servers that an instance knows, and the choice among them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.peer_topology import PeerTopology
from citrondyke.decisions.forwarding.protected_capacity import protect_batch_capacity
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.servers.candidate_sampling import sample_candidates
from citrondyke.decisions.servers.expected_finish import REQUEST_COST, expected_finish
from citrondyke.decisions.servers.health_policy import HealthPolicy
from citrondyke.ids import ServerId, ServerIncarnation
from citrondyke.util.hashing import content_hash, rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.ids import ServiceName

__all__ = ('RegistryChange', 'ServerRegistry', 'server_digest')

#: Penalty of a server in a remote zone, in requests. The distance costs a caller a millisecond and
#: the operator traffic between zones; a request queued before it costs tens of ms.
REMOTE_ZONE_COST = 0.4
#: Advantage of a server that has cached the shared prefix of a prompt, in requests. The caller's
#: first event arrives earlier by the part that need not be read again, which is worth less than
#: free capacity.
PREFIX_CACHE_GAIN = 0.6
#: Bounds of a server's mean latency relative to the service's median.
MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.7
#: Penalty of a remote zone if its counts arrive only twice a second: in that time its own zone and
#: two others may have chosen the server too.
STALE_REMOTE_ZONE_COST = 1.5
#: Penalty of a server that fails all requests, in requests. A server that fails every second
#: request seldom fails two in a row, so that it is not ejected. In a replay of 400 requests to five
#: servers, one of them such, under even load with five seeds, it caused up to 23 failures without
#: this and at most 10 with it.
FAILURE_SHARE_COST = 12.0
#: Servers compared for one request in a large fleet if the local zone has fewer.
MIN_CANDIDATES_COUNT = 3


def server_digest(listed: ServerListEntry) -> int:
    """Return a digest of a server's incarnation for messages between instances.

    With a digest of the id alone, a notice about an earlier incarnation would count for the next
    one.
    """
    return content_hash(listed.stated_incarnation.encode()) & 0xFFFF_FFFF


class RegistryChange(msgspec.Struct):
    """What a new server list changed."""

    added: list[ServerId] = []
    removed: list[ServerState] = []
    #: Earlier incarnations of restarted servers; requests on their way to them are lost.
    restarted: list[ServerState] = []

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.added or self.removed or self.restarted)


class ServerRegistry:
    """Backend servers by id and by service."""

    def __init__(self, context: Context) -> None:
        """Start without servers."""
        self._context = context
        self._states: dict[ServerId, ServerState] = {}
        self._by_incarnation: dict[ServerIncarnation, ServerState] = {}
        self._incarnations_count = 0
        self._by_service: dict[ServiceName, list[ServerState]] = {}
        self._by_digest: dict[int, ServerState] = {}
        self._refresh_counts: Callable[[], None] = _no_update
        self._on_replaced: Callable[[], None] = _no_update
        #: Origins of the streams that the listed servers begin.
        self.origins: frozenset[StreamOrigin] = frozenset()
        #: Instances that send to the same servers.
        self.topology = PeerTopology(context)
        self.health_policy = HealthPolicy(context, self.topology)

    def on_choose(self, refresh: Callable[[], None]) -> None:
        """Set the callback that applies pending counts of peers before each choice."""
        self._refresh_counts = refresh

    def on_replaced(self, notify: Callable[[], None]) -> None:
        """Set the callback for each new server list."""
        self._on_replaced = notify

    def replace(self, listed: Iterable[ServerListEntry]) -> RegistryChange:
        """Apply a server list, and call the callback for it."""
        change = self.apply_list(listed)
        self.notify_replaced()
        return change

    def apply_list(self, listed: Iterable[ServerListEntry]) -> RegistryChange:
        """Apply a server list without calling the callback, which may raise.

        A later incarnation of a known server counts as a new server: the counts, failures,
        latencies and connections of the earlier one do not apply to it.
        """
        change = RegistryChange()
        entries = {entry.id: entry for entry in listed}
        states: dict[ServerId, ServerState] = {}
        changed: list[tuple[ServerState, ServerListEntry]] = []
        for server_id, state in self._states.items():
            entry = entries.get(server_id)
            if entry is None:
                change.removed.append(state)
            elif entry is state.listed:
                states[server_id] = state
            elif entry.is_later_incarnation_than(state.listed):
                change.restarted.append(state)
            else:
                states[server_id] = state
                changed.append((state, entry))
        for server_id, entry in entries.items():
            if server_id not in states:
                change.added.append(server_id)
                since_ms = self._context.now_ms()
                states[server_id] = ServerState(entry, self._incarnation_of(entry), since_ms)
        by_service: dict[ServiceName, list[ServerState]] = {}
        for server_id, state in states.items():
            by_service.setdefault(entries[server_id].service, []).append(state)
        origins = frozenset(entry.origin for entry in entries.values())
        if change:
            by_digest = {server_digest(entries[each]): state for each, state in states.items()}
            self._by_digest = by_digest
            self._by_incarnation = {state.incarnation: state for state in states.values()}
        # From here on nothing raises: a list that was applied in part could not be applied again,
        # as the servers that it removed would no longer be found.
        self._states, self._by_service, self.origins = states, by_service, origins
        for state, entry in changed:
            state.listed = entry
        for state in (*change.removed, *change.restarted):
            state.is_delisted = True
        for of_service in by_service.values():
            protect_batch_capacity(of_service)
        return change

    def notify_replaced(self) -> None:
        """Call the callback for a new server list."""
        self._on_replaced()

    def _incarnation_of(self, entry: ServerListEntry) -> ServerIncarnation:
        """Name an incarnation uniquely among all that this instance has seen."""
        if entry.born_epoch_ms is not None:
            return entry.stated_incarnation
        self._incarnations_count += 1
        return ServerIncarnation(f'{entry.id}~{self._incarnations_count}')

    def state(self, server_id: ServerId) -> ServerState | None:
        """Return the state of a server; ``None`` if it is no longer listed."""
        return self._states.get(server_id)

    def find_incarnation(self, incarnation: ServerIncarnation) -> ServerState | None:
        """Find a server by its incarnation; ``None`` if that has ended."""
        return self._by_incarnation.get(incarnation)

    def by_digest(self, digest: int) -> ServerState | None:
        """Find a server by the digest of its incarnation."""
        return self._by_digest.get(digest)

    def states(self) -> Iterable[ServerState]:
        """Return all servers."""
        return self._states.values()

    def eligible_servers(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation] = (),
        origin: StreamOrigin | None = None,
    ) -> list[ServerState]:
        """List the servers that accept new work.

        Ejected servers are left out unless all are ejected: a wrong suspicion of all servers must
        not reject every caller.

        :param origin: origin of the stream to continue; ``None`` for work that begins.
        """
        self.evaluate_health(service)
        return self._healthy_servers(self._available_servers(service, excluded, origin))

    def can_continue(self, origin: StreamOrigin) -> bool:
        """Return whether any server that accepts work may continue a stream."""
        return bool(self._available_servers(origin.service, (), origin))

    def has_servers(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation],
        origin: StreamOrigin | None,
    ) -> bool:
        """Return whether any server accepts work, ejected ones included.

        The parameters are those of ``eligible_servers``.
        """
        return bool(self._available_servers(service, excluded, origin))

    def _healthy_servers(self, available: list[ServerState]) -> list[ServerState]:
        now_ms = self._context.now_ms()
        return [state for state in available if not state.is_ejected(now_ms)] or available

    def _available_servers(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation],
        origin: StreamOrigin | None,
    ) -> list[ServerState]:
        now_ms = self._context.now_ms()
        return [
            state
            for state in self._by_service.get(service, ())
            if not state.listed.is_leaving
            and not state.is_misplaced(now_ms)
            and state.incarnation not in excluded
            and (origin is None or state.listed.may_continue(origin))
        ]

    def evaluate_health(self, service: ServiceName) -> None:
        """Update the health of the servers of a service."""
        self.health_policy.evaluate(self._by_service.get(service, ()))

    def choose_server(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation],
        prefix: str,
        *,
        is_once: bool = False,
        origin: StreamOrigin | None = None,
    ) -> ServerState | None:
        """Choose the server of an online request; ``None`` if no server accepts work.

        :param excluded: incarnations of servers that already had the request.
        :param prefix: name of the shared prefix of its prompt; empty for none.
        :param is_once: whether it may run at most once.
        :param origin: origin of the stream to continue; ``None`` for a request that begins.
        """
        self._refresh_counts()
        self.evaluate_health(service)
        available = self._available_servers(service, excluded, origin)
        eligible = self._healthy_servers(available)
        if not eligible:
            return None
        now_ms = self._context.now_ms()
        if is_once:
            eligible = self.health_policy.servers_for_at_most_once(
                eligible, lambda state: _is_full(state, now_ms), now_ms
            )
        elif not excluded:
            probed = self.health_policy.server_to_probe(available)
            if probed is not None:
                return probed
        candidates = self._zone_candidates(eligible)
        preferred = self._preferred_for_prefix(candidates, prefix)
        drawn = candidates
        # A server that has not answered this instance yet counts as average.
        is_slowdown_known = any(state.reported_slowdown.is_known for state in eligible)
        if is_slowdown_known:
            drawn = sample_candidates(candidates, self._context.random, now_ms)
            if preferred is not None and preferred not in drawn:
                drawn = [*drawn, preferred]
        median_ms = None if is_slowdown_known else _median_latency_ms(eligible)
        best = self._cheapest(drawn, median_ms, preferred, now_ms)
        if len(drawn) < len(eligible) and _is_full(best, now_ms):
            # A request must not wait or be rejected while another server has capacity.
            best = self._cheapest(
                eligible, median_ms, self._preferred_for_prefix(eligible, prefix), now_ms
            )
        return best

    def choose_for_suspect(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation],
        name: str,
        origin: StreamOrigin | None = None,
    ) -> ServerState | None:
        """Choose the server of a poison suspect; ``None`` if no server accepts work.

        The same request goes to the same server from every instance, and different requests go to
        different servers. After a crash all requests of that server move on at once. Chosen by load
        alone, they would all meet on the same server, so that the next crash would not show which
        request caused it and would interrupt all of them again.

        :param name: digest of the request's content, or of the suspected part of its prompt.
        :param origin: origin of the stream to continue; ``None`` for a request that begins.
        """
        self._refresh_counts()
        eligible = self.eligible_servers(service, excluded, origin)
        if not eligible:
            return None
        now_ms = self._context.now_ms()
        with_capacity = [state for state in eligible if not _is_full(state, now_ms)]
        return max(
            with_capacity or eligible, key=lambda state: rendezvous_weight(state.listed.id, name)
        )

    def _cheapest(
        self,
        states: list[ServerState],
        median_ms: float | None,
        preferred: ServerState | None,
        now_ms: float,
    ) -> ServerState:
        """Choose the server of the lowest cost.

        :param median_ms: median latency; ``None`` if the servers report their slowdown.
        """
        request_cost = REQUEST_COST if median_ms is None else 1.0
        return min(
            states,
            key=lambda state: (
                self._cost(state, median_ms, now_ms)
                - PREFIX_CACHE_GAIN * request_cost * (state is preferred),
                self._context.random.random(),
            ),
        )

    def _zone_candidates(self, eligible: list[ServerState]) -> list[ServerState]:
        """Leave out most servers of remote zones in a large fleet.

        Their counts are up to half a second old, and several zones choose the same server: of 271
        requests sent there 39 waited over 250 ms for their first event, of 733 to servers of the
        local zone 3 (20 s of bursts at 69 instances, in the log of one zone).
        """
        if not self.topology.is_zoned:
            return eligible
        local = [state for state in eligible if state.listed.zone == self._context.zone]
        remote = [state for state in eligible if state.listed.zone != self._context.zone]
        remote_count = min(len(remote), max(0, MIN_CANDIDATES_COUNT - len(local)))
        return local + self._context.random.sample(remote, remote_count)

    def _cost(self, state: ServerState, median_ms: float | None, now_ms: float) -> float:
        zone_cost = STALE_REMOTE_ZONE_COST if self.topology.is_zoned else REMOTE_ZONE_COST
        if median_ms is None:
            cost = expected_finish(state, now_ms)
            zone_cost *= REQUEST_COST
        else:
            cost = self._cost_by_count(state, median_ms, now_ms)
        # Quick errors leave a server empty: each failure counts as a request in progress.
        cost += FAILURE_SHARE_COST * state.failure_share(now_ms) + state.health_record.failures
        if state.listed.zone == self._context.zone:
            return cost
        return cost + zone_cost

    @staticmethod
    def _cost_by_count(state: ServerState, median_ms: float, now_ms: float) -> float:
        slots = state.listed.slots_count
        total = state.total_count(now_ms)
        # If all capacity is used, batch items are preempted, so that only online requests count.
        # Until then free capacity is preferred to capacity that must be preempted.
        cost = float(total) if total < slots else slots + state.online_count(now_ms)
        if not median_ms or not state.mean_ms:
            return cost + 1.0
        factor = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, state.mean_ms / median_ms))
        return (cost + 1.0) * factor

    @staticmethod
    def _preferred_for_prefix(eligible: list[ServerState], prefix: str) -> ServerState | None:
        if not prefix:
            return None
        return max(eligible, key=lambda state: rendezvous_weight(state.listed.id, prefix))


def _no_update() -> None:
    """Do nothing, for registries whose counts are applied elsewhere."""


def _is_full(state: ServerState, now_ms: float) -> bool:
    """Return whether online requests and protected batch items fill a server."""
    busy_count = state.online_count(now_ms) + state.protected_batch_count(now_ms)
    return busy_count >= state.listed.slots_count


def _median_latency_ms(states: list[ServerState]) -> float:
    times = sorted(state.mean_ms for state in states if state.mean_ms)
    return times[len(times) // 2] if times else 0.0
