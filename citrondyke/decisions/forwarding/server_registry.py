"""All backend servers as one instance knows them, and the choice among them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.peer_topology import PeerTopology
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.servers.candidate_sampling import sample_candidates
from citrondyke.decisions.servers.expected_finish import REQUEST_COST, expected_finish
from citrondyke.decisions.servers.health_policy import HealthPolicy
from citrondyke.ids import ServerId, ServerIncarnation
from citrondyke.util.hashing import content_bucket, rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
    from citrondyke.ids import ServiceName

__all__ = ('RegistryChange', 'ServerRegistry', 'server_digest')

#: What a server in another availability zone must be better by, in requests: the way there costs
#: a caller a millisecond and the operator bytes between zones, a request ahead tens of ms.
REMOTE_ZONE_COST = 0.4
#: What a server that has read the shared part of a prompt before is better by, in requests: the
#: caller's first event comes sooner by what need not be read again, less than by a free place.
PREFIX_CACHE_GAIN = 0.6
#: A server's times count within these bounds of the service's mean.
MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.7
#: ... and where its counts are heard of twice a second only: in that time its zone and two others
#: may have chosen it as well.
STALE_REMOTE_ZONE_COST = 1.5
#: What a server that fails all requests is worse by, in requests. One that fails every second one
#: seldom fails two in a row, so that it is not ejected: 400 requests to five servers, one of them
#: such, had up to 23 failures without this and at most 10 with it (replay of
#: even load, five seeds).
FAILURE_SHARE_COST = 12.0
#: Servers that are looked at for one request in a large fleet where the own zone has fewer.
MIN_CANDIDATES_COUNT = 3


def server_digest(listed: ServerListEntry) -> int:
    """Shorten what names a server's life for messages between instances.

    A notice about an earlier life would otherwise count on the next one.
    """
    return content_bucket(listed.stated_incarnation.encode()) & 0xFFFF_FFFF


class RegistryChange(msgspec.Struct):
    """What a new list of servers changed."""

    added: list[ServerId] = []
    removed: list[ServerState] = []
    #: Lives that are over, as the next one has begun; what is on its way to them is lost.
    restarted: list[ServerState] = []

    def __bool__(self) -> bool:
        """Tell whether anything changed."""
        return bool(self.added or self.removed or self.restarted)


class ServerRegistry:
    """Servers by id and by service."""

    def __init__(self, context: Context) -> None:
        """Start without a server."""
        self._context = context
        self._states: dict[ServerId, ServerState] = {}
        self._by_incarnation: dict[ServerIncarnation, ServerState] = {}
        self._incarnations_count = 0
        self._by_service: dict[ServiceName, list[ServerState]] = {}
        self._by_digest: dict[int, ServerState] = {}
        self._refresh_counts: Callable[[], None] = _no_update
        #: Instances that send to the same servers.
        self.topology = PeerTopology(context)
        self.health_policy = HealthPolicy(context, self.topology)

    def on_choose(self, look: Callable[[], None]) -> None:
        """Have the counts of peers brought up to date before each choice."""
        self._refresh_counts = look

    def replace(self, listed: Iterable[ServerListEntry]) -> RegistryChange:
        """Take in the list of servers.

        A later life of a known server is a server of its own: counts, failures, times and
        connections of the one before say nothing of it.
        """
        change = RegistryChange()
        wanted = {entry.id: entry for entry in listed}
        for server_id in [each for each in self._states if each not in wanted]:
            change.removed.append(self._states.pop(server_id))
        for server_id, entry in wanted.items():
            state = self._states.get(server_id)
            if state is not None and entry.is_later_incarnation_than(state.listed):
                change.restarted.append(self._states.pop(server_id))
                state = None
            if state is None:
                change.added.append(server_id)
                since_ms = self._context.now_ms()
                self._states[server_id] = ServerState(entry, self._incarnation_of(entry), since_ms)
            else:
                state.listed = entry
        for state in (*change.removed, *change.restarted):
            state.is_delisted = True
        if change:
            states = self._states.values()
            self._by_digest = {server_digest(state.listed): state for state in states}
            self._by_incarnation = {state.incarnation: state for state in states}
        self._by_service = {}
        for state in self._states.values():
            self._by_service.setdefault(state.listed.service, []).append(state)
        return change

    def _incarnation_of(self, entry: ServerListEntry) -> ServerIncarnation:
        """Name a life so that no other one that this instance has seen has its name."""
        if entry.born_epoch_ms is not None:
            return entry.stated_incarnation
        self._incarnations_count += 1
        return ServerIncarnation(f'{entry.id}~{self._incarnations_count}')

    def state(self, server_id: ServerId) -> ServerState | None:
        """Give what is believed of a server; ``None`` when it is not listed any more."""
        return self._states.get(server_id)

    def find_incarnation(self, life: ServerIncarnation) -> ServerState | None:
        """Find a server by its life; ``None`` when that is over."""
        return self._by_incarnation.get(life)

    def by_digest(self, digest: int) -> ServerState | None:
        """Find a server by the digest of its life."""
        return self._by_digest.get(digest)

    def states(self) -> Iterable[ServerState]:
        """Give all servers."""
        return self._states.values()

    def eligible_servers(
        self, service: ServiceName, avoid: Collection[ServerIncarnation] = ()
    ) -> list[ServerState]:
        """List the servers that take new work.

        Ejected ones are left out while others are there; if all are ejected, all count, since a
        wrong suspicion of all of them must not turn every caller away.
        """
        self.evaluate_health(service)
        return self._healthy_servers(self._available_servers(service, avoid))

    def _healthy_servers(self, open_ones: list[ServerState]) -> list[ServerState]:
        now_ms = self._context.now_ms()
        return [state for state in open_ones if not state.is_ejected(now_ms)] or open_ones

    def _available_servers(
        self, service: ServiceName, avoid: Collection[ServerIncarnation]
    ) -> list[ServerState]:
        return [
            state
            for state in self._by_service.get(service, ())
            if not state.listed.is_leaving
            and not state.is_misplaced
            and state.incarnation not in avoid
        ]

    def evaluate_health(self, service: ServiceName) -> None:
        """Judge the servers of a service by what has become known of them."""
        self.health_policy.evaluate(self._by_service.get(service, ()))

    def choose_server(
        self,
        service: ServiceName,
        avoid: Collection[ServerIncarnation],
        prefix: str,
        *,
        is_once: bool = False,
    ) -> ServerState | None:
        """Choose the server of an online request; ``None`` when no server takes work.

        :param avoid: lives of servers that had the request already.
        :param prefix: names the shared part of its prompt; empty where there is none.
        :param is_once: whether it may run once only.
        """
        self._refresh_counts()
        self.evaluate_health(service)
        open_ones = self._available_servers(service, avoid)
        usable = self._healthy_servers(open_ones)
        if not usable:
            return None
        now_ms = self._context.now_ms()
        if is_once:
            usable = self.health_policy.servers_for_at_most_once(
                usable, lambda state: _is_full(state, now_ms), now_ms
            )
        elif not avoid:
            tried = self.health_policy.server_to_probe(open_ones)
            if tried is not None:
                return tried
        looked_at = self._zone_candidates(usable)
        preferred = self._preferred_for_prefix(looked_at, prefix)
        few = looked_at
        # One that has not answered this instance yet is taken for one of the middle.
        is_paced = any(state.reported_slowdown.is_known for state in usable)
        if is_paced:
            few = sample_candidates(looked_at, self._context.random, now_ms)
            if preferred is not None and preferred not in few:
                few = [*few, preferred]
        mean_ms = None if is_paced else _median_latency_ms(usable)
        best = self._cheapest(few, mean_ms, preferred, now_ms)
        if len(few) < len(usable) and _is_full(best, now_ms):
            # A request must not wait or be turned away while a server elsewhere has a place.
            best = self._cheapest(
                usable, mean_ms, self._preferred_for_prefix(usable, prefix), now_ms
            )
        return best

    def choose_for_suspect(
        self, service: ServiceName, avoid: Collection[ServerIncarnation], name: str
    ) -> ServerState | None:
        """Choose the server of a request that may end it; ``None`` when none takes work.

        The same request goes to the same server wherever it comes in, and others to others:
        after a crash everybody who was there moves on at once, and by load alone they all choose
        the same server, so that the next crash tells nothing of who did it and takes them all
        along again.

        :param name: names what is asked for.
        """
        self._refresh_counts()
        usable = self.eligible_servers(service, avoid)
        if not usable:
            return None
        now_ms = self._context.now_ms()
        roomy = [state for state in usable if not _is_full(state, now_ms)]
        return max(roomy or usable, key=lambda state: rendezvous_weight(state.listed.id, name))

    def _cheapest(
        self,
        states: list[ServerState],
        mean_ms: float | None,
        preferred: ServerState | None,
        now_ms: float,
    ) -> ServerState:
        """Choose the cheapest server.

        :param mean_ms: mean time of answers; ``None`` where the servers state their pace.
        """
        request_cost = REQUEST_COST if mean_ms is None else 1.0
        return min(
            states,
            key=lambda state: (
                self._cost(state, mean_ms, now_ms)
                - PREFIX_CACHE_GAIN * request_cost * (state is preferred),
                self._context.random.random(),
            ),
        )

    def _zone_candidates(self, usable: list[ServerState]) -> list[ServerState]:
        """Leave the servers of other zones out of a large fleet's choice while there is room.

        Their counts are up to half a second old, and several zones choose the same one: of 271
        requests sent there 39 waited for their first event for over 250 ms, of 733 to servers of
        the own zone 3 (20 s of bursts at 69 instances, as one zone logged them).
        """
        if not self.topology.is_zoned:
            return usable
        near = [state for state in usable if state.listed.zone == self._context.zone]
        far = [state for state in usable if state.listed.zone != self._context.zone]
        far_count = min(len(far), max(0, MIN_CANDIDATES_COUNT - len(near)))
        return near + self._context.random.sample(far, far_count)

    def _cost(self, state: ServerState, mean_ms: float | None, now_ms: float) -> float:
        zone_cost = STALE_REMOTE_ZONE_COST if self.topology.is_zoned else REMOTE_ZONE_COST
        if mean_ms is None:
            cost = expected_finish(state, now_ms)
            zone_cost *= REQUEST_COST
        else:
            cost = self._cost_by_count(state, mean_ms, now_ms)
        # Quick errors leave a server empty: each counts as a request that is on it.
        cost += FAILURE_SHARE_COST * state.failure_share(now_ms) + state.health_record.failures
        if state.listed.zone == self._context.zone:
            return cost
        return cost + zone_cost

    @staticmethod
    def _cost_by_count(state: ServerState, mean_ms: float, now_ms: float) -> float:
        slots = state.listed.slots_count
        total = state.total_count(now_ms)
        # Batch items make room where all places are taken, so that only online requests count
        # there; before that a free place is better than one that must be made.
        cost = float(total) if total < slots else slots + state.online_count(now_ms)
        if not mean_ms or not state.mean_ms:
            return cost + 1.0
        factor = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, state.mean_ms / mean_ms))
        return (cost + 1.0) * factor

    @staticmethod
    def _preferred_for_prefix(usable: list[ServerState], prefix: str) -> ServerState | None:
        if not prefix:
            return None
        return max(usable, key=lambda state: rendezvous_weight(state.listed.id, prefix))


def _no_update() -> None:
    """Stand where counts come in by themselves."""


def _is_full(state: ServerState, now_ms: float) -> bool:
    """Tell whether online requests and the batch items that keep places fill a server."""
    busy_count = state.online_count(now_ms) + state.protected_batch_count(now_ms)
    return busy_count >= state.listed.slots_count


def _median_latency_ms(states: list[ServerState]) -> float:
    times = sorted(state.mean_ms for state in states if state.mean_ms)
    return times[len(times) // 2] if times else 0.0
