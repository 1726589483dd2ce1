"""What an instance knows of how requests ended at one life of one server."""

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

#: A server that failed is out for so long before the first trial, twice as long for each time
#: that it went out lately: one that goes up and down by turns must not fail somebody each time.
FIRST_PROBE_DELAY_MS = 500.0
MAX_PROBE_DELAY_MS = 4_000.0
#: ... and one that does not answer for so long, then for the longest time: each trial costs its
#: caller the time until it is sent elsewhere, not the few ms of an error.
UNANSWERED_PROBE_DELAY_MS = 1_000.0
#: A new life waits so long for a request that may be repeated before it gets others: where none
#: comes, it would else stay idle.
CONFIRMATION_WAIT_MS = 1_000.0
#: Times that it went out count for so long.
EJECTION_HISTORY_MS = 20_000.0


class PeerOutcomes(msgspec.Struct, frozen=True):
    """What a peer told, with its ages as times of this instance's clock."""

    failed: int
    unanswered: int
    succeeded: int
    recovered: int
    failed_ms: float
    succeeded_ms: float
    expires_ms: float


class ServerHealthRecord:
    """Own and told results, and the standing that they led to."""

    def __init__(self, since_ms: float) -> None:
        """Start sound and without a result.

        :param since_ms: when this instance heard of the life.
        """
        self._known_since_ms = since_ms
        self.own = OutcomeWindow()
        self.health = ServerHealth.HEALTHY
        #: Somebody has seen this life succeed.
        self.is_confirmed = False
        #: Share of failures among the results since it came into doubt, and their number.
        self.failure_share = 0.0
        self.failures = 0
        #: Something is to be told to peers.
        self.has_update = False
        #: Results before this do not count any more.
        self.counted_from_ms = NEVER_MS
        self.ejected_at_ms: list[float] = []
        #: The last failure that anybody is known to have seen.
        self.last_failure_ms = NEVER_MS
        #: The own zone has seen successes only, while others saw failures.
        self.fails_elsewhere_only = False
        #: Until then only the own zone's successes bring it back here, as only that was failed.
        self.local_zone_only_until_ms = NEVER_MS
        self._peer_outcomes: dict[InstanceId, PeerOutcomes] = {}
        self._first_failure_ms = NEVER_MS
        #: The last failure was that no answer came.
        self._is_unanswered = False
        self._failed_probes = 0

    def is_past_confirmation(self, now_ms: float) -> bool:
        """Tell whether the life has been seen to succeed, or nobody could have in its time."""
        return self.is_confirmed or now_ms - self._known_since_ms > CONFIRMATION_WAIT_MS

    def record(self, outcome: Outcome, now_ms: float) -> None:
        """Take in a result of this instance."""
        if outcome is Outcome.SUCCEEDED:
            self.has_update = self.has_update or self._should_publish(now_ms)
            self.is_confirmed = True
        else:
            self._record_failure(now_ms, now_ms, is_silent=outcome is Outcome.UNANSWERED)
            self.has_update = True
        self.own.record(outcome, now_ms)

    def merge_peer_outcomes(self, peer: InstanceId, told: ServerEvidence, now_ms: float) -> None:
        """Take in what a peer tells; it replaces what the peer told before."""
        failed_ms = NEVER_MS if told.failure_age_ms is None else now_ms - told.failure_age_ms
        succeeded_ms = NEVER_MS if told.success_age_ms is None else now_ms - told.success_age_ms
        if told.failed or told.unanswered:
            self._record_failure(failed_ms, now_ms, is_silent=not told.failed)
        self.is_confirmed = self.is_confirmed or told.succeeded > 0
        self._peer_outcomes[peer] = PeerOutcomes(
            told.failed,
            told.unanswered,
            told.succeeded,
            told.recovered,
            failed_ms,
            succeeded_ms,
            now_ms + WINDOW_MS,
        )

    def peer_outcomes(self, now_ms: float) -> dict[InstanceId, PeerOutcomes]:
        """Give what peers told that still counts."""
        for peer in [
            peer for peer, each in self._peer_outcomes.items() if each.expires_ms <= now_ms
        ]:
            del self._peer_outcomes[peer]
        return self._peer_outcomes

    def needs_evaluation(self, now_ms: float) -> bool:
        """Tell whether there is anything to judge."""
        if self.health is not ServerHealth.HEALTHY:
            return True
        return self.last_failure_ms > now_ms - WINDOW_MS

    def counts_since_ms(self) -> float:
        """Give the time from which results count."""
        return max(self._first_failure_ms, self.counted_from_ms)

    def recovery_count(self, peers: Collection[InstanceId], now_ms: float) -> int:
        """Count the successes after the last failure that this instance and some peers saw."""
        failure_ms = self.last_failure_ms
        told = self.peer_outcomes(now_ms)
        own_count = self.own.successes_after(failure_ms)
        return own_count + sum(
            each.recovered
            for peer, each in told.items()
            if each.succeeded_ms > failure_ms and peer in peers
        )

    def probe_delay_ms(self, now_ms: float) -> float:
        """Give the time after the last failure before a trial may be sent."""
        if self._is_unanswered:
            return min(MAX_PROBE_DELAY_MS, UNANSWERED_PROBE_DELAY_MS * 4.0**self._failed_probes)
        self.ejected_at_ms = [
            out_ms for out_ms in self.ejected_at_ms if out_ms > now_ms - EJECTION_HISTORY_MS
        ]
        doublings = max(0, len(self.ejected_at_ms) - 1)
        return float(min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2.0**doublings))

    def _should_publish(self, now_ms: float) -> bool:
        """Tell whether peers should hear of a success now."""
        if not self.is_confirmed or self.health is ServerHealth.EJECTED:
            return True
        return self.needs_evaluation(now_ms) and not self.own.successes_after(self.last_failure_ms)

    def _record_failure(self, failed_ms: float, now_ms: float, *, is_silent: bool) -> None:
        """Let successes count from the first failure on: earlier ones say nothing of it."""
        silent_ms = failed_ms - self.last_failure_ms
        if self.last_failure_ms <= now_ms - WINDOW_MS:
            self._first_failure_ms = failed_ms
        if self.health is ServerHealth.HEALTHY:
            self._failed_probes = 0
        elif silent_ms >= FIRST_PROBE_DELAY_MS:
            self._failed_probes += 1
        if failed_ms > self.last_failure_ms:
            self.last_failure_ms = failed_ms
            self._is_unanswered = is_silent
