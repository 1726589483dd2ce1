"""Starts batch items on free capacity and preempts them when online requests need it."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Collection, Iterable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.item_priority import LATE_SLACK_MS
from citrondyke.decisions.batch.online_headroom import OnlineHeadroom
from citrondyke.decisions.batch.placement_refusal import PlacementRefusal
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.ids import InstanceId, ServerIncarnation, ServiceName

__all__ = ('BatchScheduler', 'RunningItem', 'Urgency', 'urgency')

#: An item with no more slack than this is at risk: preempting it would make it miss its due time,
#: while an online request that waits for capacity can still meet its target.
AT_RISK_SLACK_MS = 1_500.0
#: Part of the online target for which a request may wait at a full server of a large fleet before a
#: run is preempted, because load counts may be stale.
ONLINE_WAIT_SHARE = 0.1
#: If ending online requests are expected to free the capacity within half of the target, the wait
#: is four fifths of that time.
DUE_SOON_SHARE = 0.5
DUE_SOON_WAIT_SHARE = 0.4
#: Number of waits after which no run is expected to end by itself: one that has outlived its
#: estimate looks as if it ended at any moment, for as long as it runs.
MAX_ENDING_WAITS = 2
#: Approximate service time of a streamed request; the target limits the wait in any case.
SERVICE_TIME_MS = 700.0
#: Longest gap between two samples of a server's excess; after a longer one the history restarts.
EXCESS_GAP_MS = 500.0
#: Weight of servers in the local zone in the choice: traffic between zones costs money.
LOCAL_ZONE_WEIGHT = 2.0


class Urgency(Enum):
    """Urgency of an item with respect to its due time."""

    #: Will miss its due time; uses only capacity that is not needed otherwise.
    LATE = 'late'
    #: Can wait.
    PATIENT = 'patient'
    #: Meets its due time only if it runs without interruption from now on.
    AT_RISK = 'at_risk'


def urgency(due_epoch_ms: float, epoch_ms: float, remaining_ms: float) -> Urgency:
    """Return the urgency of an item.

    :param remaining_ms: its expected remaining run time.
    """
    slack_ms = due_epoch_ms - epoch_ms - remaining_ms
    if slack_ms < LATE_SLACK_MS:
        return Urgency.LATE
    return Urgency.AT_RISK if slack_ms <= AT_RISK_SLACK_MS else Urgency.PATIENT


class RunningItem(msgspec.Struct, frozen=True):
    """A batch item on a server."""

    #: Number that the owner assigned to the run.
    number: int
    incarnation: ServerIncarnation
    started_ms: float
    urgency: Urgency
    #: Expected remaining run time; an item that has run for seconds may be nearly finished.
    remaining_ms: float = float('inf')
    #: Shortest target of the online requests to its service.
    target_ms: float = 0.0


class _ExcessHistory(msgspec.Struct):
    """Samples of the requests beyond a server's capacity, as time and count."""

    samples: deque[tuple[float, int]]
    #: Since when the server has had an excess without interruption.
    since_ms: float

    def remove_excess(self, count: int) -> None:
        """Subtract preempted runs from all samples."""
        self.samples = deque((at_ms, max(0, excess - count)) for at_ms, excess in self.samples)


class _Candidate(msgspec.Struct, frozen=True):
    state: ServerState
    free: int


class BatchScheduler:
    """Runs batch items on capacity that online requests leave free, and preempts them.

    Handles online bursts beside a backlog of batch items. An item is preempted as soon as an online
    request would wait for too long, as long as the item can still meet its due time. Items at risk
    may keep a quarter of each server's capacity: without it, all items of a service that was short
    of servers became late, although each of them had been preempted to no effect.
    """

    def __init__(
        self, context: Context, registry: ServerRegistry, rate_limiter: StartRateLimiter
    ) -> None:
        """Start without running items."""
        self._context = context
        self._registry = registry
        self._rate_limiter = rate_limiter
        self.headroom = OnlineHeadroom(context)
        #: Choices that found no server, by reason.
        self.refusals: Counter[PlacementRefusal] = Counter()
        #: Free capacity as of the last choice of a server, with what is kept for online requests;
        #: that of remote zones only where the local one had none.
        self.free_by_service: dict[ServiceName, int] = {}
        self._preempted_ms: dict[ServerIncarnation, float] = {}
        self._excess_history: dict[ServerIncarnation, _ExcessHistory] = {}

    @property
    def is_fleet_large(self) -> bool:
        """Return whether the fleet is so large that CPU time matters more than capacity."""
        return self._registry.topology.is_zoned

    def observe_online_load(self, service: ServiceName) -> None:
        """Sample the online load of a service with waiting items."""
        now_ms = self._context.now_ms()
        local, remote = self._split_by_zone(self._registry.eligible_servers(service))
        online = sum(state.online_count(now_ms) for state in local)
        # In a large fleet the counts of all servers cost processor time.
        is_online = online > 0 or any(state.online_count(now_ms) for state in remote)
        self.headroom.observe(service, online, is_online=is_online)

    def can_continue(self, origin: StreamOrigin) -> bool:
        """Return whether any server may continue an item."""
        return self._registry.can_continue(origin)

    def has_servers(
        self,
        service: ServiceName,
        excluded: Collection[ServerIncarnation],
        origin: StreamOrigin | None,
    ) -> bool:
        """Return whether any other server accepts an item, those without capacity included.

        :param origin: origin of the item's events; ``None`` if any server may run it.
        """
        return self._registry.has_servers(service, excluded, origin)

    def choose_server(
        self,
        service: ServiceName,
        urgency_now: Urgency,
        origin: StreamOrigin | None = None,
        excluded: Collection[ServerIncarnation] = (),
    ) -> ServerState | None:
        """Choose the server for an item; ``None`` if no capacity is available to it.

        In a large fleet servers of the local zone come first: the load on a remote server is
        published late, so that online requests there do not take the item into account in time.

        :param origin: origin of the item's events; ``None`` if any server may run it.
        :param excluded: servers that must not run it.
        """
        now_ms = self._context.now_ms()
        eligible = self._registry.eligible_servers(service, excluded, origin)
        local, remote = self._split_by_zone(eligible)
        is_at_risk = urgency_now is Urgency.AT_RISK
        candidates = _candidates(local, now_ms)
        self.free_by_service[service] = local_count = _free_count(candidates)
        self.headroom.by_service[service] = headroom = self._local_headroom(
            service, len(candidates), local
        )
        free_count = local_count - headroom
        candidates = _spread_headroom(candidates)
        if free_count < 1:
            candidates = [
                _Candidate(state, 1)
                for state in local
                if is_at_risk and _may_run_at_risk(state, now_ms)
            ]
            free_count = len(candidates)
        is_remote = not candidates
        if is_remote:
            candidates = self._remote_candidates(service, remote, is_at_risk=is_at_risk)
            free_count = _free_count(candidates)
        if not candidates:
            self.refusals[self._refusal(service, eligible)] += 1
            return None
        if not self._rate_limiter.try_start(service, free_count, is_remote=is_remote):
            self.refusals[PlacementRefusal.START_BUDGET] += 1
            return None
        # Weighted random choice by free capacity: the emptiest server looks so to all owners at
        # once, and a deterministic choice would overload it.
        weights = [
            candidate.free**2
            / candidate.state.expected_slowdown(now_ms)
            * (LOCAL_ZONE_WEIGHT if candidate.state.listed.zone == self._context.zone else 1.0)
            for candidate in candidates
        ]
        return self._context.random.choices(candidates, weights)[0].state

    def _refusal(self, service: ServiceName, eligible: list[ServerState]) -> PlacementRefusal:
        if not eligible:
            return PlacementRefusal.NO_SERVER
        if self.free_by_service[service] < 1:
            return PlacementRefusal.FULL
        return PlacementRefusal.KEPT_FOR_ONLINE

    def _local_headroom(
        self, service: ServiceName, servers_count: int, local: list[ServerState]
    ) -> int:
        """Return the capacity to leave free on the servers that have any."""
        capacity_count = _capacity_count(local)
        if self._registry.topology.is_zoned:
            return self.headroom.headroom_by_rises(service, servers_count, capacity_count)
        return self.headroom.headroom_on_each(service, servers_count, capacity_count)

    def _remote_candidates(
        self, service: ServiceName, remote: list[ServerState], *, is_at_risk: bool
    ) -> list[_Candidate]:
        """Return the servers of remote zones for an item.

        Their counts are stale, so that each needs headroom of its own.
        """
        now_ms = self._context.now_ms()
        candidates = _candidates(remote, now_ms)
        headroom = self.headroom.headroom_on_each(service, len(candidates), _capacity_count(remote))
        remote_count = _free_count(candidates)
        self.free_by_service[service] += remote_count
        candidates = _spread_headroom(candidates) if remote_count > headroom else []
        if is_at_risk:
            chosen = {candidate.state.incarnation for candidate in candidates}
            candidates += [
                _Candidate(state, 1)
                for state in remote
                if state.incarnation not in chosen and _may_run_at_risk(state, now_ms)
            ]
        return candidates

    def _split_by_zone(
        self, usable: list[ServerState]
    ) -> tuple[list[ServerState], list[ServerState]]:
        """Separate servers with fresh load counts from those in remote zones of a large fleet."""
        if not self._registry.topology.is_zoned:
            return usable, []
        zone = self._context.zone
        local = [state for state in usable if state.listed.zone == zone]
        return local, [state for state in usable if state.listed.zone != zone]

    def overloaded_servers(
        self, incarnations: Iterable[ServerIncarnation]
    ) -> set[ServerIncarnation]:
        """Return the servers with more requests than capacity, some of them online."""
        now_ms = self._context.now_ms()
        found = set()
        for incarnation in incarnations:
            state = self._registry.find_incarnation(incarnation)
            if state is not None and _excess_count(state, now_ms) > 0:
                found.add(incarnation)
            else:
                self._excess_history.pop(incarnation, None)
        return found

    def items_to_preempt(self, running: Iterable[RunningItem]) -> list[RunningItem]:
        """Choose the items to preempt now.

        Late items go first and items at risk last; among equals, those with the longest remaining
        run time go first, then the youngest. The owners of items on an overloaded server preempt in
        a common order, each only the excess that the owners before it do not cover. If every owner
        preempted the whole excess, most of that work would be deferred needlessly; if each
        preempted a random part, online requests could wait until some owner does.
        """
        now_ms = self._context.now_ms()
        by_server: dict[ServerIncarnation, list[RunningItem]] = {}
        for item in running:
            by_server.setdefault(item.incarnation, []).append(item)
        chosen = []
        for incarnation, items in by_server.items():
            state = self._registry.find_incarnation(incarnation)
            if state is not None:
                chosen.extend(self._preempt_at(state, items, now_ms))
        return chosen

    def _preempt_at(
        self, state: ServerState, items: list[RunningItem], now_ms: float
    ) -> list[RunningItem]:
        # The preemptions of other owners are not known yet; another one now would be too many.
        if (
            now_ms - self._preempted_ms.get(state.incarnation, float('-inf'))
            < self._rate_limiter.gap_ms
        ):
            return []
        wait_ms = 0.0
        if self._registry.topology.is_zoned:
            # In a smaller fleet load counts are at most 10 ms old, and no wait is needed.
            wait_ms = _online_wait_limit_ms(state, min(item.target_ms for item in items), now_ms)
        count = self._preemption_count(state, len(items), wait_ms, now_ms)
        if now_ms - self._excess_since_ms(state, now_ms) < MAX_ENDING_WAITS * wait_ms:
            # Items that finish within the wait free their capacity without preemption.
            count -= sum(item.remaining_ms <= wait_ms for item in items)
        if count <= 0:
            return []
        self._preempted_ms[state.incarnation] = now_ms
        order = [Urgency.LATE, Urgency.PATIENT, Urgency.AT_RISK]
        items.sort(
            key=lambda item: (order.index(item.urgency), -item.remaining_ms, -item.started_ms)
        )
        preempted = items[:count]
        batch_left = state.batch_count(now_ms) - len(preempted)
        while (
            preempted
            and preempted[-1].urgency is Urgency.AT_RISK
            and batch_left < state.protected_batch_limit
        ):
            preempted.pop()
            batch_left += 1
        self._excess_history[state.incarnation].remove_excess(len(preempted))
        return preempted

    def _preemption_count(
        self, state: ServerState, own_count: int, wait_ms: float, now_ms: float
    ) -> int:
        excess = self._sustained_excess_count(state, wait_ms, now_ms)
        if excess <= 0:
            return 0
        own_rank = self._rank(self._context.instance_id, state)
        before = sum(
            count
            for peer, count in state.batch_by_peer(now_ms).items()
            if self._rank(peer, state) > own_rank
        )
        return min(own_count, max(0, excess - before))

    def _sustained_excess_count(self, state: ServerState, wait_ms: float, now_ms: float) -> int:
        """Return the smallest excess of a server during the last ``wait_ms``.

        On a server with several online requests some end within that time; the capacity that they
        free needs no preemption.
        """
        excess = _excess_count(state, now_ms)
        if excess <= 0:
            self._excess_history.pop(state.incarnation, None)
            return 0
        history = self._excess_history.setdefault(
            state.incarnation, _ExcessHistory(deque(), now_ms)
        )
        samples = history.samples
        if samples and now_ms - samples[-1][0] > EXCESS_GAP_MS:
            samples.clear()
            history.since_ms = now_ms
        samples.append((now_ms, excess))
        # The last sample before the span is the value at the start of the span.
        while len(samples) > 1 and samples[1][0] <= now_ms - wait_ms:
            samples.popleft()
        if samples[0][0] > now_ms - wait_ms:
            return 0
        return min(each for _, each in samples)

    def _excess_since_ms(self, state: ServerState, now_ms: float) -> float:
        history = self._excess_history.get(state.incarnation)
        return now_ms if history is None else history.since_ms

    @staticmethod
    def _rank(instance_id: InstanceId, state: ServerState) -> int:
        return rendezvous_weight(instance_id, state.listed.id)


def _candidates(states: Iterable[ServerState], now_ms: float) -> list[_Candidate]:
    """Return the servers with free capacity."""
    return [
        _Candidate(state, free) for state in states if (free := _free_capacity(state, now_ms)) >= 1
    ]


def _spread_headroom(candidates: list[_Candidate]) -> list[_Candidate]:
    """Leave the headroom on as many servers as possible, where it is most useful."""
    spread = [
        _Candidate(candidate.state, candidate.free - 1)
        for candidate in candidates
        if candidate.free > 1
    ]
    return spread or candidates


def _free_count(candidates: Iterable[_Candidate]) -> int:
    return sum(candidate.free for candidate in candidates)


def _capacity_count(states: Iterable[ServerState]) -> int:
    return sum(state.listed.slots_count for state in states)


def _free_capacity(state: ServerState, now_ms: float) -> int:
    """Return the unused capacity of a server; 0 if it is ejected."""
    if state.is_ejected(now_ms):
        return 0
    return state.listed.slots_count - state.total_count(now_ms)


def _excess_count(state: ServerState, now_ms: float) -> int:
    """Return the requests beyond a server's capacity that preempting batch items would relieve."""
    online = state.online_count(now_ms)
    batch = state.batch_count(now_ms)
    return min(batch, online + batch - state.listed.slots_count) if online else 0


def _online_wait_limit_ms(state: ServerState, target_ms: float, now_ms: float) -> float:
    """Return how long a server may stay overloaded before a run is preempted."""
    ends_per_ms = state.online_count(now_ms) / SERVICE_TIME_MS
    is_due_soon = _excess_count(state, now_ms) <= ends_per_ms * DUE_SOON_SHARE * target_ms
    return (DUE_SOON_WAIT_SHARE if is_due_soon else ONLINE_WAIT_SHARE) * target_ms


def _may_run_at_risk(state: ServerState, now_ms: float) -> bool:
    """Return whether an item at risk may start on a full server that has no overload yet."""
    if state.is_ejected(now_ms) or state.batch_count(now_ms) >= state.protected_batch_limit:
        return False
    return state.total_count(now_ms) <= state.listed.slots_count
