"""When batch items start, and which of them stop when online requests need their places."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.item_priority import LATE_SLACK_MS
from citrondyke.decisions.batch.online_headroom import OnlineHeadroom
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.ids import InstanceId, ServerIncarnation, ServiceName

__all__ = ('BatchScheduler', 'RunningItem', 'Urgency', 'urgency')

#: Places that batch items leave free on each server of another availability zone, whose counts are
#: old.
REMOTE_HEADROOM = 1
#: An item that must run from now on, with no more than this to spare, is at risk: a cut costs it
#: its due time, while a request that waits for a place is still within its target.
AT_RISK_SLACK_MS = 1_500.0
#: Part of the target of online requests for which one may wait at a full server of a large fleet
#: before a run is cut: the counts may be behind ...
ONLINE_WAIT_SHARE = 0.1
#: ... and where a place is expected within half of the target, as online requests end, it is given
#: four fifths of that time.
DUE_SOON_SHARE = 0.5
DUE_SOON_WAIT_SHARE = 0.4
#: Time that a streamed request stays on a server, about; the wait is bounded by the target in any
#: case.
SERVICE_TIME_MS = 700.0
#: Longest time over which the least excess of a server is remembered.
EXCESS_GAP_MS = 500.0
#: Servers of the own availability zone are so much likelier: bytes between zones cost money.
LOCAL_ZONE_WEIGHT = 2.0


class Urgency(Enum):
    """How an item stands to its due time."""

    #: It will be late; it takes no place that anything else needs.
    LATE = 'late'
    #: It can wait.
    PATIENT = 'patient'
    #: It is done in time only if it runs from now on.
    AT_RISK = 'at_risk'


def urgency(due_epoch_ms: float, epoch_ms: float, remaining_ms: float) -> Urgency:
    """Tell how an item stands.

    :param remaining_ms: time that it still runs.
    """
    slack_ms = due_epoch_ms - epoch_ms - remaining_ms
    if slack_ms < LATE_SLACK_MS:
        return Urgency.LATE
    return Urgency.AT_RISK if slack_ms <= AT_RISK_SLACK_MS else Urgency.PATIENT


class RunningItem(msgspec.Struct, frozen=True):
    """A batch item on a server; the number is its owner's."""

    number: int
    life: ServerIncarnation
    started_ms: float
    urgency: Urgency
    #: Time that it still runs; one that has run for seconds may be nearly done.
    remaining_ms: float = float('inf')
    #: Shortest target of the online requests that come to its service.
    target_ms: float = 0.0


class _ExcessHistory(msgspec.Struct):
    """Requests beyond a server's places, in the order of time."""

    seen: deque[tuple[float, int]]

    def remove_excess(self, count: int) -> None:
        """Take in that runs were cut."""
        self.seen = deque((at_ms, max(0, excess - count)) for at_ms, excess in self.seen)


class _Candidate(msgspec.Struct, frozen=True):
    state: ServerState
    free: int


class BatchScheduler:
    """Fills the places that online requests leave, and clears them again.

    Batch items give way while their due time bears it, as soon as an online request would wait
    for too long. Those at risk may keep a quarter of each server's places: with none kept, items
    of a service that is short of servers were late one and all although each of them had given way
    for nothing.
    """

    def __init__(
        self, context: Context, registry: ServerRegistry, rate_limiter: StartRateLimiter
    ) -> None:
        """Use what is known of the servers."""
        self._context = context
        self._registry = registry
        self._rate_limiter = rate_limiter
        self.headroom = OnlineHeadroom(context)
        self._preempted_ms: dict[ServerIncarnation, float] = {}
        self._excess_history: dict[ServerIncarnation, _ExcessHistory] = {}

    @property
    def is_fleet_large(self) -> bool:
        """Tell whether the fleet is so large that processor time counts for more than places."""
        return self._registry.topology.is_zoned

    def observe_online_load(self, service: ServiceName) -> None:
        """Follow the online requests of a service whose items wait, in a large fleet."""
        if not self._registry.topology.is_zoned:
            return
        now_ms = self._context.now_ms()
        local, _ = self._split_by_zone(self._registry.eligible_servers(service))
        self.headroom.observe(service, sum(state.online_count(now_ms) for state in local))

    def choose_server(self, service: ServiceName, urgency_now: Urgency) -> ServerState | None:
        """Choose the server for an item; ``None`` while all places are needed.

        In a large fleet servers of the own zone come first: an online request that comes to
        another one hears of the item's owner late.
        """
        now_ms = self._context.now_ms()
        local, remote = self._split_by_zone(self._registry.eligible_servers(service))
        is_at_risk = urgency_now is Urgency.AT_RISK
        candidates = [
            _Candidate(state, free)
            for state in local
            if (free := _free_capacity(state, now_ms)) >= 1
        ]
        free_count = sum(candidate.free for candidate in candidates) - self._headroom_count(
            service, len(candidates)
        )
        # What is kept is of most use where each server has a part of it.
        candidates = [
            _Candidate(candidate.state, candidate.free - 1)
            for candidate in candidates
            if candidate.free > 1
        ] or candidates
        if free_count < 1:
            candidates = [
                _Candidate(state, 1)
                for state in local
                if is_at_risk and _may_run_at_risk(state, now_ms)
            ]
            free_count = len(candidates)
        is_remote = not candidates
        if is_remote:
            candidates = _remote_candidates(remote, now_ms, is_at_risk=is_at_risk)
            free_count = sum(candidate.free for candidate in candidates)
        if not candidates or not self._rate_limiter.try_start(
            service, free_count, is_remote=is_remote
        ):
            return None
        # By chance, the emptier the likelier: the emptiest one looks so to all at once.
        weights = [
            candidate.free**2
            / candidate.state.expected_slowdown(now_ms)
            * (LOCAL_ZONE_WEIGHT if candidate.state.listed.zone == self._context.zone else 1.0)
            for candidate in candidates
        ]
        return self._context.random.choices(candidates, weights)[0].state

    def _headroom_count(self, service: ServiceName, servers_count: int) -> int:
        """Count the places to leave free on the servers that have some.

        Where servers are few, each of them needs its own: there is nowhere else to go.
        """
        if not self._registry.topology.is_zoned:
            return servers_count
        return self.headroom.headroom_for(service, servers_count)

    def _split_by_zone(
        self, usable: list[ServerState]
    ) -> tuple[list[ServerState], list[ServerState]]:
        """Part the servers whose counts are fresh from those of a large fleet's other zones."""
        if not self._registry.topology.is_zoned:
            return usable, []
        zone = self._context.zone
        local = [state for state in usable if state.listed.zone == zone]
        return local, [state for state in usable if state.listed.zone != zone]

    def overloaded_servers(self, lives: Iterable[ServerIncarnation]) -> set[ServerIncarnation]:
        """Tell which of some servers have more requests than places, online ones among them."""
        now_ms = self._context.now_ms()
        found = set()
        for life in lives:
            state = self._registry.find_incarnation(life)
            if state is not None and _excess_count(state, now_ms) > 0:
                found.add(life)
            else:
                self._excess_history.pop(life, None)
        return found

    def items_to_preempt(self, running: Iterable[RunningItem]) -> list[RunningItem]:
        """Choose the items that stop now, the youngest first.

        The owners of items on a crowded server cut in an order that all of them know, each what
        those before it do not cover: if all cut all of it, most of the work would be put off for
        nothing, and if each cut a part by chance, online requests would wait for who does.
        """
        now_ms = self._context.now_ms()
        by_server: dict[ServerIncarnation, list[RunningItem]] = {}
        for item in running:
            by_server.setdefault(item.life, []).append(item)
        chosen = []
        for life, items in by_server.items():
            state = self._registry.find_incarnation(life)
            if state is not None:
                chosen.extend(self._preempt_at(state, items, now_ms))
        return chosen

    def _preempt_at(
        self, state: ServerState, items: list[RunningItem], now_ms: float
    ) -> list[RunningItem]:
        # What the other owners cut is not known yet; cutting again before would be too much.
        if (
            now_ms - self._preempted_ms.get(state.incarnation, float('-inf'))
            < self._rate_limiter.gap_ms
        ):
            return []
        wait_ms = 0.0
        if self._registry.topology.is_zoned:
            # In a smaller fleet counts are ten ms old at the most.
            wait_ms = _online_wait_limit_ms(state, min(item.target_ms for item in items), now_ms)
        count = self._preemption_count(state, len(items), wait_ms, now_ms)
        # Those that end soon make room by themselves.
        ending_count = sum(item.remaining_ms <= wait_ms for item in items)
        count -= ending_count
        if count <= 0:
            return []
        self._preempted_ms[state.incarnation] = now_ms
        order = [Urgency.LATE, Urgency.PATIENT, Urgency.AT_RISK]
        items.sort(
            key=lambda item: (order.index(item.urgency), -item.remaining_ms, -item.started_ms)
        )
        cut = items[:count]
        batch_left = state.batch_count(now_ms) - len(cut)
        while (
            cut and cut[-1].urgency is Urgency.AT_RISK and batch_left < state.protected_batch_limit
        ):
            cut.pop()
            batch_left += 1
        self._excess_history[state.incarnation].remove_excess(len(cut))
        return cut

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
        """Count the requests that were too many all the time for which one may wait.

        Online requests come and go within that time on a server with several of them: what they
        free themselves needs no run cut.
        """
        excess = _excess_count(state, now_ms)
        if excess <= 0:
            self._excess_history.pop(state.incarnation, None)
            return 0
        known = self._excess_history.setdefault(state.incarnation, _ExcessHistory(deque()))
        seen = known.seen
        if seen and now_ms - seen[-1][0] > EXCESS_GAP_MS:
            seen.clear()
        seen.append((now_ms, excess))
        # The newest one from before the span still holds at its begin.
        while len(seen) > 1 and seen[1][0] <= now_ms - wait_ms:
            seen.popleft()
        if seen[0][0] > now_ms - wait_ms:
            return 0
        return min(each for _, each in seen)

    @staticmethod
    def _rank(instance_id: InstanceId, state: ServerState) -> int:
        return rendezvous_weight(instance_id, state.listed.id)


def _remote_candidates(
    remote: list[ServerState], now_ms: float, *, is_at_risk: bool
) -> list[_Candidate]:
    candidates = []
    for state in remote:
        free = _free_capacity(state, now_ms) - REMOTE_HEADROOM
        if free < 1 and is_at_risk and _may_run_at_risk(state, now_ms):
            free = 1
        if free >= 1:
            candidates.append(_Candidate(state, free))
    return candidates


def _free_capacity(state: ServerState, now_ms: float) -> int:
    """Count the places of a server that nobody has."""
    if state.is_ejected(now_ms):
        return 0
    return state.listed.slots_count - state.total_count(now_ms)


def _excess_count(state: ServerState, now_ms: float) -> int:
    """Count the requests beyond the places of a server that batch items would make room for."""
    online = state.online_count(now_ms)
    batch = state.batch_count(now_ms)
    return min(batch, online + batch - state.listed.slots_count) if online else 0


def _online_wait_limit_ms(state: ServerState, target_ms: float, now_ms: float) -> float:
    """Give the time for which a server may have too many requests before a run is cut."""
    ends_per_ms = state.online_count(now_ms) / SERVICE_TIME_MS
    is_due_soon = _excess_count(state, now_ms) <= ends_per_ms * DUE_SOON_SHARE * target_ms
    return (DUE_SOON_WAIT_SHARE if is_due_soon else ONLINE_WAIT_SHARE) * target_ms


def _may_run_at_risk(state: ServerState, now_ms: float) -> bool:
    """Tell whether an item at risk may take a place where online requests wait for none yet."""
    if state.is_ejected(now_ms) or state.batch_count(now_ms) >= state.protected_batch_limit:
        return False
    return state.total_count(now_ms) <= state.listed.slots_count
