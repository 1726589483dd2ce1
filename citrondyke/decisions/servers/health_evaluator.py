"""Evaluate the health of the servers of a service by the outcomes that the whole fleet observed."""

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

#: Failures in the fleet that eject a server. Of two failures one may be of a request that fails
#: anywhere; the third would hit a caller whose request cannot be repeated.
FAILURES_LIMIT = 3
#: ... if they are at least this share of the outcomes since the first failure. Callers of a server
#: that fails less are served better by it than by busier servers; requests that may run at most
#: once go elsewhere.
FAILURE_SHARE_LIMIT = 0.2
#: ... and at least this many times the failures of the better servers of the service.
BASELINE_FACTOR = 3
#: One part in this many of the servers, those with the fewest failures, is the baseline: if these
#: fail too, the cause is not the servers.
BASELINE_DIVISOR = 8
#: An observer that gets no answer from more than one part in this many of the servers of a service
#: is partitioned itself.
PARTITIONED_DIVISOR = 4
#: A single observer can eject at most one part in this many of the servers of a service.
SINGLE_OBSERVER_DIVISOR = 3
#: Observers that must get no answer from a server before unanswered requests count as failures.
MIN_UNANSWERED_OBSERVERS = 2
#: Successes in the local zone after which failures in remote zones do not count here.
MIN_ZONE_SUCCESSES = 3
#: ... if they are at least this share of the outcomes there.
REMOTE_ZONES_FAILURE_SHARE = 0.9
#: Successes after the last failure that end an ejection.
SUCCESSES_TO_RECOVER = 2
#: A server without a failure for this time counts as healthy again, in case no repeatable request
#: arrives to probe it.
MAX_DEGRADED_MS = 10_000.0


class _ZoneResults(msgspec.Struct):
    """Outcomes at one server that the instances of one availability zone observed."""

    failures: int = 0
    successes: int = 0


class _FleetView(msgspec.Struct):
    """All outcomes at one server that the fleet observed."""

    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0
    unanswered_observers: int = 0
    observers: list[InstanceId] = []
    local_zone: _ZoneResults = msgspec.field(default_factory=_ZoneResults)
    remote_zones: dict[AvailabilityZone | None, _ZoneResults] = {}

    @property
    def failures(self) -> int:
        """Count the failures that can eject the server."""
        is_confirmed = self.unanswered_observers >= MIN_UNANSWERED_OBSERVERS
        return self.failed + (self.unanswered if is_confirmed else 0)

    @property
    def failure_share(self) -> float:
        """Return the share of failures among the outcomes."""
        return self.failures / max(1, self.failures + self.succeeded)

    @property
    def is_confirmed_healthy_here(self) -> bool:
        """Return whether the local zone's successes confirm that only remote zones are affected."""
        return self.fails_elsewhere_only and self.local_zone.successes >= MIN_ZONE_SUCCESSES

    @property
    def fails_elsewhere_only(self) -> bool:
        """Return whether remote zones see hardly anything but failures, and the local zone none.

        This alone does not confirm the server: one that fails a part of its requests may have
        served a few in a row here.
        """
        failed = [zone for zone in self.remote_zones.values() if zone.failures]
        failures = sum(zone.failures for zone in failed)
        results = failures + sum(zone.successes for zone in failed)
        fails_elsewhere = failures > 0 and failures >= REMOTE_ZONES_FAILURE_SHARE * results
        return fails_elsewhere and not self.local_zone.failures and self.local_zone.successes > 0

    @property
    def fails_here_only(self) -> bool:
        """Return whether only the local zone sees failures, while others see successes."""
        others = self.remote_zones.values()
        return (
            self.local_zone.failures > 0
            and not any(zone.failures for zone in others)
            and any(zone.successes for zone in others)
        )


class HealthEvaluator:
    """Evaluate the health of each server of a service.

    Handles servers that fail every request at once while their health check is good: if each
    instance had to find out by itself, every instance would lose a caller or two.
    """

    def __init__(self, context: Context, topology: PeerTopology) -> None:
        """Start without an evaluation."""
        self._context = context
        self._topology = topology

    def evaluate(self, states: Sequence[ServerState]) -> list[HealthChange]:
        """Evaluate the servers of one service; return the changes."""
        now_ms = self._context.now_ms()
        evaluated = [state for state in states if state.health_record.needs_evaluation(now_ms)]
        if not evaluated:
            return []
        partitioned = self._partitioned_observers(states, now_ms)
        views = {state.incarnation: self._view(state, partitioned, now_ms) for state in evaluated}
        baseline = _baseline_failures(states, views)
        single_observer_left = max(1, len(states) // SINGLE_OBSERVER_DIVISOR) - sum(
            state.health_record.health is ServerHealth.EJECTED
            and len(views[state.incarnation].observers) == 1
            for state in evaluated
        )
        changes = []
        for state in sorted(evaluated, key=lambda each: -views[each.incarnation].failures):
            view = views[state.incarnation]
            after = self._next_health(state, view, baseline, now_ms)
            is_ejecting = after is ServerHealth.EJECTED is not state.health_record.health
            if is_ejecting and len(view.observers) == 1:
                if single_observer_left <= 0:
                    after = ServerHealth.DEGRADED
                single_observer_left -= 1
            change = _apply_health(state, view, after, now_ms)
            if change is not None:
                changes.append(change)
        return changes

    def _next_health(
        self, state: ServerState, view: _FleetView, baseline: int, now_ms: float
    ) -> ServerHealth:
        record = state.health_record
        is_within_baseline = baseline > 0 and view.failures < BASELINE_FACTOR * baseline
        if view.is_confirmed_healthy_here or is_within_baseline:
            return ServerHealth.HEALTHY
        recoveries_count = record.recovery_count(self._trusted_peers(state, view, now_ms), now_ms)
        since_failure_ms = now_ms - record.last_failure_ms
        if since_failure_ms > MAX_DEGRADED_MS:
            return ServerHealth.HEALTHY
        if record.health is ServerHealth.EJECTED:
            is_recovered = recoveries_count >= SUCCESSES_TO_RECOVER
            return ServerHealth.DEGRADED if is_recovered else ServerHealth.EJECTED
        if view.failures >= FAILURES_LIMIT and view.failure_share >= FAILURE_SHARE_LIMIT:
            return ServerHealth.EJECTED
        # A server that did not answer may have been overloaded; after an error answer it may fail
        # again.
        if recoveries_count > 0 and (since_failure_ms > WINDOW_MS or not view.failed):
            return ServerHealth.HEALTHY
        is_degraded = bool(view.observers) or record.health is ServerHealth.DEGRADED
        return ServerHealth.DEGRADED if is_degraded else ServerHealth.HEALTHY

    def _trusted_peers(
        self, state: ServerState, view: _FleetView, now_ms: float
    ) -> Collection[InstanceId]:
        """Return the peers whose successes count towards the end of an ejection here."""
        record = state.health_record
        if view.fails_here_only:
            record.local_zone_only_until_ms = now_ms + MAX_DEGRADED_MS
        reported = record.peer_outcomes(now_ms)
        if now_ms >= record.local_zone_only_until_ms:
            return reported.keys()
        return {peer for peer in reported if self._topology.zone_of(peer) == self._context.zone}

    def _partitioned_observers(
        self, states: Sequence[ServerState], now_ms: float
    ) -> set[InstanceId]:
        """Find the observers that get no answer from so many servers that they are partitioned."""
        unanswered_counts: dict[InstanceId, int] = {}
        own_id = self._context.instance_id
        for state in states:
            record = state.health_record
            if record.own.counts_since(record.counts_since_ms(), now_ms).unanswered:
                unanswered_counts[own_id] = unanswered_counts.get(own_id, 0) + 1
            for peer, reported in record.peer_outcomes(now_ms).items():
                if reported.unanswered:
                    unanswered_counts[peer] = unanswered_counts.get(peer, 0) + 1
        limit = max(1, len(states) // PARTITIONED_DIVISOR)
        return {observer for observer, count in unanswered_counts.items() if count > limit}

    def _view(self, state: ServerState, partitioned: set[InstanceId], now_ms: float) -> _FleetView:
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
            partitioned,
        )
        for peer, reported in record.peer_outcomes(now_ms).items():
            # A peer's counts may reach back beyond the time from which outcomes count here.
            is_old = reported.failed_ms <= record.counted_from_ms
            self._add(
                view,
                peer,
                0 if is_old else reported.failed,
                0 if is_old else reported.unanswered,
                reported.succeeded,
                self._topology.zone_of(peer),
                partitioned,
            )
        return view

    def _add(
        self,
        view: _FleetView,
        observer: InstanceId,
        failed: int,
        unanswered: int,
        succeeded: int,
        zone: AvailabilityZone | None,
        partitioned: set[InstanceId],
    ) -> None:
        if observer in partitioned:
            unanswered = 0
        view.failed += failed
        view.unanswered += unanswered
        view.unanswered_observers += bool(unanswered)
        view.succeeded += succeeded
        if failed or unanswered:
            view.observers.append(observer)
        is_own = zone == self._context.zone
        zone_results = (
            view.local_zone if is_own else view.remote_zones.setdefault(zone, _ZoneResults())
        )
        zone_results.failures += failed + unanswered
        zone_results.successes += succeeded


def _baseline_failures(
    states: Sequence[ServerState], views: dict[ServerIncarnation, _FleetView]
) -> int:
    """Return the most failures among the best servers: what any server of this service may fail."""
    failures = sorted(
        views[state.incarnation].failures if state.incarnation in views else 0 for state in states
    )
    return failures[len(failures) // BASELINE_DIVISOR]


def _apply_health(
    state: ServerState, view: _FleetView, after: ServerHealth, now_ms: float
) -> HealthChange | None:
    record = state.health_record
    before = record.health
    is_healthy = after is ServerHealth.HEALTHY
    record.failure_share = 0.0 if is_healthy else view.failure_share
    record.failures = 0 if is_healthy else view.failures
    record.fails_elsewhere_only = view.fails_elsewhere_only
    if after is before:
        return None
    record.health = after
    if after is ServerHealth.EJECTED:
        record.ejected_at_ms.append(now_ms)
    elif before is ServerHealth.EJECTED:
        # The failures that ejected it must not eject it again.
        record.counted_from_ms = now_ms
    return HealthChange(
        server_id=state.listed.id,
        before=before,
        after=after,
        failures=view.failed + view.unanswered,
        successes=view.succeeded,
        failure_age_ms=now_ms - record.last_failure_ms,
        observers=view.observers,
        ejections_count=len(record.ejected_at_ms),
    )
