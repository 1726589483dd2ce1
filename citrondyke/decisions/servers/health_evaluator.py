"""Judges the servers of a service by what the whole fleet has seen of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.servers.outcomes import WINDOW_MS
from citrondyke.decisions.servers.server_health import HealthChange, ServerHealth

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import AvailabilityZone, InstanceId, ServerIncarnation

__all__ = ('HealthEvaluator',)

#: Failures of the fleet that take a server out. Of two, one may be of a request that fails
#: anywhere; the third would be a caller's who cannot be served again.
FAILURES_LIMIT = 3
#: ... where they are this share of the results since the first one. Callers of a server that
#: fails less are better served by it than by fuller ones; what may run once goes elsewhere.
FAILURE_SHARE_LIMIT = 0.2
#: ... and this many times what the better servers of the service fail.
BASELINE_FACTOR = 3
#: Part of the servers, those with the fewest failures, that are taken for the better ones: where
#: these fail as well, it is not the servers.
BASELINE_DIVISOR = 8
#: A witness that gets no answer from more than this part of a service is cut off itself.
PARTITIONED_DIVISOR = 4
#: What one witness alone tells takes out this part of a service at the most.
SINGLE_OBSERVER_DIVISOR = 3
#: Instances that must get no answer from a server before others hold it to be out.
MIN_UNANSWERED_OBSERVERS = 2
#: Successes in the own zone after which failures in other zones do not count here.
MIN_ZONE_SUCCESSES = 3
#: ... where they are nearly all that other zones get there.
REMOTE_ZONES_FAILURE_SHARE = 0.9
#: Successes after the last failure that bring a server back.
SUCCESSES_TO_RECOVER = 2
#: A server that nobody has seen fail for so long may be used again, in case no request that may be
#: repeated comes by to try it.
MAX_DEGRADED_MS = 10_000.0


class _ZoneResults(msgspec.Struct):
    """What the instances of one availability zone have seen of one server."""

    failures: int = 0
    successes: int = 0


class _FleetView(msgspec.Struct):
    """All that is known of one server."""

    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0
    unanswered_observers: int = 0
    witnesses: list[InstanceId] = []
    local_zone: _ZoneResults = msgspec.field(default_factory=_ZoneResults)
    remote_zones: dict[AvailabilityZone | None, _ZoneResults] = {}

    @property
    def failures(self) -> int:
        """Count the failures that take a server out."""
        is_certain = self.unanswered_observers >= MIN_UNANSWERED_OBSERVERS
        return self.failed + (self.unanswered if is_certain else 0)

    @property
    def failure_share(self) -> float:
        """Give the share of failures among the results."""
        return self.failures / max(1, self.failures + self.succeeded)

    @property
    def is_confirmed_healthy_here(self) -> bool:
        """Tell whether the own zone's results show that only other zones are failed."""
        return self.fails_elsewhere_only and self.local_zone.successes >= MIN_ZONE_SUCCESSES

    @property
    def fails_elsewhere_only(self) -> bool:
        """Tell whether zones see hardly anything but failures, and the own zone none.

        A server that fails a part of its requests may have served three in a row here.
        """
        failed = [zone for zone in self.remote_zones.values() if zone.failures]
        failures = sum(zone.failures for zone in failed)
        results = failures + sum(zone.successes for zone in failed)
        fails_elsewhere = failures > 0 and failures >= REMOTE_ZONES_FAILURE_SHARE * results
        return fails_elsewhere and not self.local_zone.failures and self.local_zone.successes > 0

    @property
    def fails_here_only(self) -> bool:
        """Tell whether only the own zone is failed, while others are served."""
        others = self.remote_zones.values()
        return (
            self.local_zone.failures > 0
            and not any(zone.failures for zone in others)
            and any(zone.successes for zone in others)
        )


class HealthEvaluator:
    """Gives each server of a service its standing.

    Answers a server that fails at once what it gets while its health is good: found out by each
    instance alone, it costs a caller or two at each.
    """

    def __init__(self, context: Context, neighbours: PeerTopology) -> None:
        """Start without a judgement."""
        self._context = context
        self._topology = neighbours

    def evaluate(self, states: Sequence[ServerState]) -> list[HealthChange]:
        """Judge the servers of one service; give what changed."""
        now_ms = self._context.now_ms()
        concerned = [state for state in states if state.health_record.needs_evaluation(now_ms)]
        if not concerned:
            return []
        cut_off = self._partitioned_observers(states, now_ms)
        views = {state.incarnation: self._view(state, cut_off, now_ms) for state in concerned}
        floor = _baseline_failures(states, views)
        alone_left = max(1, len(states) // SINGLE_OBSERVER_DIVISOR) - sum(
            state.health_record.health is ServerHealth.EJECTED
            and len(views[state.incarnation].witnesses) == 1
            for state in concerned
        )
        changes = []
        for state in sorted(concerned, key=lambda each: -views[each.incarnation].failures):
            view = views[state.incarnation]
            after = self._next_health(state, view, floor, now_ms)
            is_going = after is ServerHealth.EJECTED is not state.health_record.health
            if is_going and len(view.witnesses) == 1:
                if alone_left <= 0:
                    after = ServerHealth.DEGRADED
                alone_left -= 1
            change = _apply_health(state, view, after, now_ms)
            if change is not None:
                changes.append(change)
        return changes

    def _next_health(
        self, state: ServerState, view: _FleetView, floor: int, now_ms: float
    ) -> ServerHealth:
        record = state.health_record
        is_usual = floor > 0 and view.failures < BASELINE_FACTOR * floor
        if view.is_confirmed_healthy_here or is_usual:
            return ServerHealth.HEALTHY
        recovered = record.recovery_count(self._trusted_peers(state, view, now_ms), now_ms)
        silent_ms = now_ms - record.last_failure_ms
        if silent_ms > MAX_DEGRADED_MS:
            return ServerHealth.HEALTHY
        if record.health is ServerHealth.EJECTED:
            is_back = recovered >= SUCCESSES_TO_RECOVER
            return ServerHealth.DEGRADED if is_back else ServerHealth.EJECTED
        if view.failures >= FAILURES_LIMIT and view.failure_share >= FAILURE_SHARE_LIMIT:
            return ServerHealth.EJECTED
        # A server that was silent may have been full; what it failed it may fail again.
        if recovered > 0 and (silent_ms > WINDOW_MS or not view.failed):
            return ServerHealth.HEALTHY
        is_degraded = bool(view.witnesses) or record.health is ServerHealth.DEGRADED
        return ServerHealth.DEGRADED if is_degraded else ServerHealth.HEALTHY

    def _trusted_peers(
        self, state: ServerState, view: _FleetView, now_ms: float
    ) -> Collection[InstanceId]:
        """Give the peers whose successes bring a server back here."""
        record = state.health_record
        if view.fails_here_only:
            record.local_zone_only_until_ms = now_ms + MAX_DEGRADED_MS
        told = record.peer_outcomes(now_ms)
        if now_ms >= record.local_zone_only_until_ms:
            return told.keys()
        return {peer for peer in told if self._topology.zone_of(peer) == self._context.zone}

    def _partitioned_observers(
        self, states: Sequence[ServerState], now_ms: float
    ) -> set[InstanceId]:
        """Find the witnesses that get no answer from so many that it is they."""
        blamed: dict[InstanceId, int] = {}
        own_id = self._context.instance_id
        for state in states:
            record = state.health_record
            if record.own.counts_since(record.counts_since_ms(), now_ms).unanswered:
                blamed[own_id] = blamed.get(own_id, 0) + 1
            for peer, told in record.peer_outcomes(now_ms).items():
                if told.unanswered:
                    blamed[peer] = blamed.get(peer, 0) + 1
        limit = max(1, len(states) // PARTITIONED_DIVISOR)
        return {witness for witness, count in blamed.items() if count > limit}

    def _view(self, state: ServerState, cut_off: set[InstanceId], now_ms: float) -> _FleetView:
        record = state.health_record
        view = _FleetView()
        own = record.own.counts_since(record.counts_since_ms(), now_ms)
        self._add(
            view,
            self._context.instance_id,
            own.failed,
            own.unanswered,
            own.succeeded,
            self._context.zone,
            cut_off,
        )
        for peer, told in record.peer_outcomes(now_ms).items():
            # A peer's sums may reach back beyond the time from which results count here.
            is_old = told.failed_ms <= record.counted_from_ms
            self._add(
                view,
                peer,
                0 if is_old else told.failed,
                0 if is_old else told.unanswered,
                told.succeeded,
                self._topology.zone_of(peer),
                cut_off,
            )
        return view

    def _add(
        self,
        view: _FleetView,
        witness: InstanceId,
        failed: int,
        unanswered: int,
        succeeded: int,
        zone: AvailabilityZone | None,
        cut_off: set[InstanceId],
    ) -> None:
        if witness in cut_off:
            unanswered = 0
        view.failed += failed
        view.unanswered += unanswered
        view.unanswered_observers += bool(unanswered)
        view.succeeded += succeeded
        if failed or unanswered:
            view.witnesses.append(witness)
        is_own = zone == self._context.zone
        here = view.local_zone if is_own else view.remote_zones.setdefault(zone, _ZoneResults())
        here.failures += failed + unanswered
        here.successes += succeeded


def _baseline_failures(
    states: Sequence[ServerState], views: dict[ServerIncarnation, _FleetView]
) -> int:
    """Give the failures of the best servers' worst: what a server of this service may fail."""
    failures = sorted(
        views[state.incarnation].failures if state.incarnation in views else 0 for state in states
    )
    return failures[len(failures) // BASELINE_DIVISOR]


def _apply_health(
    state: ServerState, view: _FleetView, after: ServerHealth, now_ms: float
) -> HealthChange | None:
    record = state.health_record
    before = record.health
    is_sound = after is ServerHealth.HEALTHY
    record.failure_share = 0.0 if is_sound else view.failure_share
    record.failures = 0 if is_sound else view.failures
    record.fails_elsewhere_only = view.fails_elsewhere_only
    if after is before:
        return None
    record.health = after
    if after is ServerHealth.EJECTED:
        record.ejected_at_ms.append(now_ms)
    elif before is ServerHealth.EJECTED:
        # The failures that took it out must not take it out again.
        record.counted_from_ms = now_ms
    return HealthChange(
        server_id=state.listed.id,
        before=before,
        after=after,
        failures=view.failed + view.unanswered,
        successes=view.succeeded,
        failure_age_ms=now_ms - record.last_failure_ms,
        witnesses=view.witnesses,
        outs_count=len(record.ejected_at_ms),
    )
