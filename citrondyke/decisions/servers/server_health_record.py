"""Outcomes and health of one incarnation of one server, as an instance knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.servers.outcomes import NEVER_MS, WINDOW_MS, Outcome, OutcomeWindow
from citrondyke.decisions.servers.server_health import ServerHealth

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.servers.server_evidence import ServerEvidence
    from citrondyke.ids import InstanceId

__all__ = ('PeerOutcomes', 'ServerHealthRecord')

#: Delay from a failure of an ejected server to the first probe, doubled for each recent ejection: a
#: server that goes up and down repeatedly must not fail a request each time.
FIRST_PROBE_DELAY_MS = 500.0
MAX_PROBE_DELAY_MS = 4_000.0
#: ... and for a server that does not answer, followed by the longest delay: each probe costs its
#: caller the time until the failover, not the few ms of an error.
UNANSWERED_PROBE_DELAY_MS = 1_000.0
#: Time for which a new incarnation gets repeatable requests only: without the limit it would stay
#: idle if none arrives.
CONFIRMATION_WAIT_MS = 1_000.0
#: Time for which an ejection counts.
EJECTION_HISTORY_MS = 20_000.0


class PeerOutcomes(msgspec.Struct, frozen=True):
    """Outcomes that a peer reported, with ages converted to times of this instance's clock."""

    failed: int
    unanswered: int
    succeeded: int
    recovered: int
    failed_ms: float
    succeeded_ms: float
    expires_ms: float


class ServerHealthRecord:
    """Outcomes observed here and by peers, and the health derived from them."""

    def __init__(self, since_ms: float) -> None:
        """Start healthy and without outcomes.

        :param since_ms: when this instance first saw the incarnation.
        """
        self._known_since_ms = since_ms
        self.own = OutcomeWindow()
        self.health = ServerHealth.HEALTHY
        #: An instance has observed a success of this incarnation.
        self.is_confirmed = False
        #: Share and number of failures among the outcomes since the first failure.
        self.failure_share = 0.0
        self.failures = 0
        #: An update has to be published to peers.
        self.has_update = False
        #: Earlier outcomes do not count any more.
        self.counted_from_ms = NEVER_MS
        self.ejected_at_ms: list[float] = []
        #: Time of the last failure that any instance is known to have observed.
        self.last_failure_ms = NEVER_MS
        #: The local zone has observed successes only, remote zones failures.
        self.fails_elsewhere_only = False
        #: Until then only the local zone's successes end an ejection here, as only that zone saw
        #: failures.
        self.local_zone_only_until_ms = NEVER_MS
        self._peer_outcomes: dict[InstanceId, PeerOutcomes] = {}
        self._first_failure_ms = NEVER_MS
        #: In the last failure no answer arrived.
        self._is_unanswered = False
        self._failed_probes = 0

    def is_past_confirmation(self, now_ms: float) -> bool:
        """Return whether a success was observed, or the wait for one has expired."""
        return self.is_confirmed or now_ms - self._known_since_ms > CONFIRMATION_WAIT_MS

    def record(self, outcome: Outcome, now_ms: float) -> None:
        """Record an outcome observed by this instance."""
        if outcome is Outcome.SUCCEEDED:
            self.has_update = self.has_update or self._should_publish(now_ms)
            self.is_confirmed = True
        else:
            self._record_failure(now_ms, now_ms, is_unanswered=outcome is Outcome.UNANSWERED)
            self.has_update = True
        self.own.record(outcome, now_ms)

    def merge_peer_outcomes(
        self, peer: InstanceId, reported: ServerEvidence, now_ms: float
    ) -> None:
        """Apply a peer's outcome counts; they replace its earlier ones."""
        failed_ms = (
            NEVER_MS if reported.failure_age_ms is None else now_ms - reported.failure_age_ms
        )
        succeeded_ms = (
            NEVER_MS if reported.success_age_ms is None else now_ms - reported.success_age_ms
        )
        if reported.failed or reported.unanswered:
            self._record_failure(failed_ms, now_ms, is_unanswered=not reported.failed)
        self.is_confirmed = self.is_confirmed or reported.succeeded > 0
        self._peer_outcomes[peer] = PeerOutcomes(
            reported.failed,
            reported.unanswered,
            reported.succeeded,
            reported.recovered,
            failed_ms,
            succeeded_ms,
            now_ms + WINDOW_MS,
        )

    def peer_outcomes(self, now_ms: float) -> dict[InstanceId, PeerOutcomes]:
        """Return the outcomes of peers that still count."""
        for peer in [
            peer for peer, each in self._peer_outcomes.items() if each.expires_ms <= now_ms
        ]:
            del self._peer_outcomes[peer]
        return self._peer_outcomes

    def needs_evaluation(self, now_ms: float) -> bool:
        """Return whether the health has to be evaluated."""
        if self.health is not ServerHealth.HEALTHY:
            return True
        return self.last_failure_ms > now_ms - WINDOW_MS

    def counts_since_ms(self) -> float:
        """Return the time from which outcomes count."""
        return max(self._first_failure_ms, self.counted_from_ms)

    def recovery_count(self, peers: Collection[InstanceId], now_ms: float) -> int:
        """Count the successes after the last failure that this instance and the given peers saw."""
        failure_ms = self.last_failure_ms
        reported = self.peer_outcomes(now_ms)
        own_count = self.own.successes_after(failure_ms)
        return own_count + sum(
            each.recovered
            for peer, each in reported.items()
            if each.succeeded_ms > failure_ms and peer in peers
        )

    def probe_delay_ms(self, now_ms: float) -> float:
        """Return the delay from the last failure until a probe may be sent."""
        if self._is_unanswered:
            return min(MAX_PROBE_DELAY_MS, UNANSWERED_PROBE_DELAY_MS * 4.0**self._failed_probes)
        self.ejected_at_ms = [
            ejected_ms
            for ejected_ms in self.ejected_at_ms
            if ejected_ms > now_ms - EJECTION_HISTORY_MS
        ]
        doublings = max(0, len(self.ejected_at_ms) - 1)
        return float(min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2.0**doublings))

    def _should_publish(self, now_ms: float) -> bool:
        """Return whether a success has to be published now."""
        if not self.is_confirmed or self.health is ServerHealth.EJECTED:
            return True
        return self.needs_evaluation(now_ms) and not self.own.successes_after(self.last_failure_ms)

    def _record_failure(self, failed_ms: float, now_ms: float, *, is_unanswered: bool) -> None:
        """Start to count successes at the first failure, as earlier ones do not show recovery."""
        since_failure_ms = failed_ms - self.last_failure_ms
        if self.last_failure_ms <= now_ms - WINDOW_MS:
            self._first_failure_ms = failed_ms
        if self.health is ServerHealth.HEALTHY:
            self._failed_probes = 0
        elif since_failure_ms >= FIRST_PROBE_DELAY_MS:
            self._failed_probes += 1
        if failed_ms > self.last_failure_ms:
            self.last_failure_ms = failed_ms
            self._is_unanswered = is_unanswered
