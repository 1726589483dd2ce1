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
    until_ms: float


class ServerHealthRecord:
    """Own and told results, and the standing that they led to."""

    def __init__(self, since_ms: float) -> None:
        """Start sound and without a result.

        :param since_ms: when this instance heard of the life.
        """
        self._since_ms = since_ms
        self.own = OutcomeWindow()
        self.standing = ServerHealth.SOUND
        #: Somebody has seen this life succeed.
        self.is_proven = False
        #: Share of failures among the results since it came into doubt, and their number.
        self.failing_share = 0.0
        self.failures = 0
        #: Something is to be told to peers.
        self.has_news = False
        #: Results before this do not count any more.
        self.counted_from_ms = NEVER_MS
        self.outs_ms: list[float] = []
        #: The last failure that anybody is known to have seen.
        self.last_failure_ms = NEVER_MS
        #: The own zone has seen successes only, while others saw failures.
        self.fails_elsewhere_only = False
        #: Until then only the own zone's successes bring it back here, as only that was failed.
        self.zone_only_until_ms = NEVER_MS
        self._told: dict[InstanceId, PeerOutcomes] = {}
        self._doubt_ms = NEVER_MS
        #: The last failure was that no answer came.
        self._is_silent = False
        self._failed_trials = 0

    def is_past_confirmation(self, now_ms: float) -> bool:
        """Tell whether the life has been seen to succeed, or nobody could have in its time."""
        return self.is_proven or now_ms - self._since_ms > CONFIRMATION_WAIT_MS

    def note(self, outcome: Outcome, now_ms: float) -> None:
        """Take in a result of this instance."""
        if outcome is Outcome.SUCCEEDED:
            self.has_news = self.has_news or self._is_news(now_ms)
            self.is_proven = True
        else:
            self._note_failed(now_ms, now_ms, is_silent=outcome is Outcome.UNANSWERED)
            self.has_news = True
        self.own.note(outcome, now_ms)

    def merge_peer_outcomes(self, peer: InstanceId, told: ServerEvidence, now_ms: float) -> None:
        """Take in what a peer tells; it replaces what the peer told before."""
        failed_ms = NEVER_MS if told.failure_age_ms is None else now_ms - told.failure_age_ms
        succeeded_ms = NEVER_MS if told.success_age_ms is None else now_ms - told.success_age_ms
        if told.failed or told.unanswered:
            self._note_failed(failed_ms, now_ms, is_silent=not told.failed)
        self.is_proven = self.is_proven or told.succeeded > 0
        self._told[peer] = PeerOutcomes(
            told.failed,
            told.unanswered,
            told.succeeded,
            told.recovered,
            failed_ms,
            succeeded_ms,
            now_ms + WINDOW_MS,
        )

    def told(self, now_ms: float) -> dict[InstanceId, PeerOutcomes]:
        """Give what peers told that still counts."""
        for peer in [peer for peer, each in self._told.items() if each.until_ms <= now_ms]:
            del self._told[peer]
        return self._told

    def needs_evaluation(self, now_ms: float) -> bool:
        """Tell whether there is anything to judge."""
        if self.standing is not ServerHealth.SOUND:
            return True
        return self.last_failure_ms > now_ms - WINDOW_MS

    def since_ms(self) -> float:
        """Give the time from which results count."""
        return max(self._doubt_ms, self.counted_from_ms)

    def recovered(self, peers: Collection[InstanceId], now_ms: float) -> int:
        """Count the successes after the last failure that this instance and some peers saw."""
        failure_ms = self.last_failure_ms
        told = self.told(now_ms)
        own_count = self.own.succeeded_after(failure_ms)
        return own_count + sum(
            each.recovered
            for peer, each in told.items()
            if each.succeeded_ms > failure_ms and peer in peers
        )

    def pause_ms(self, now_ms: float) -> float:
        """Give the time after the last failure before a trial may be sent."""
        if self._is_silent:
            return min(MAX_PROBE_DELAY_MS, UNANSWERED_PROBE_DELAY_MS * 4.0**self._failed_trials)
        self.outs_ms = [out_ms for out_ms in self.outs_ms if out_ms > now_ms - EJECTION_HISTORY_MS]
        doublings = max(0, len(self.outs_ms) - 1)
        return float(min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2.0**doublings))

    def _is_news(self, now_ms: float) -> bool:
        """Tell whether peers should hear of a success now."""
        if not self.is_proven or self.standing is ServerHealth.OUT:
            return True
        return self.needs_evaluation(now_ms) and not self.own.succeeded_after(self.last_failure_ms)

    def _note_failed(self, failed_ms: float, now_ms: float, *, is_silent: bool) -> None:
        """Let successes count from the first failure on: earlier ones say nothing of it."""
        silent_ms = failed_ms - self.last_failure_ms
        if self.last_failure_ms <= now_ms - WINDOW_MS:
            self._doubt_ms = failed_ms
        if self.standing is ServerHealth.SOUND:
            self._failed_trials = 0
        elif silent_ms >= FIRST_PROBE_DELAY_MS:
            self._failed_trials += 1
        if failed_ms > self.last_failure_ms:
            self.last_failure_ms = failed_ms
            self._is_silent = is_silent
