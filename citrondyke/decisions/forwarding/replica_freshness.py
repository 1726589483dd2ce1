"""Whether the server list and the configuration are too old to act on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.pause_detector import PauseDetector

__all__ = ('ReplicaEvidence', 'ReplicaFreshness')

#: Older server lists are read anew before a server is chosen: a draining server may get requests
#: for 2 s. Instances in step read within 1.2 s.
STALE_AFTER_MS = 1_500.0
#: After a call of the store that began this long ago and failed, requests don't wait for another
#: one. Longer than the interval of such calls while the store does not respond.
AWAY_MS = 3_000.0


class ReplicaEvidence(msgspec.Struct, frozen=True):
    """How current one replicated table certainly is, by the fence clock in ms."""

    #: Beginning of the last call of the store whose response was applied. Its end proves nothing:
    #: a response may have waited in a socket while the process stood still.
    confirmed_ms: float
    #: Beginning of the last call that failed.
    failed_ms: float


class ReplicaFreshness:
    """Judges by the age of the evidence, and by whether the process has stood still since.

    An instance that was frozen, or that missed a change on all ways, would send requests to servers
    that left meanwhile, and accept keys that were revoked.
    """

    def __init__(self, context: Context, pauses: PauseDetector) -> None:
        """Start without evidence."""
        self._context = context
        self._pauses = pauses
        self._unanswered_ms = float('-inf')

    def record_unanswered(self, began_ms: float) -> None:
        """Record that a read took longer than requests may wait for it."""
        self._unanswered_ms = max(self._unanswered_ms, began_ms)

    def is_stale(self, evidence: ReplicaEvidence, interval_factor: float) -> bool:
        """Return whether a table must be read before it is acted on.

        :param interval_factor: factor by which the table is read less often than in a small fleet.
        """
        if evidence.confirmed_ms == float('-inf'):
            # The first read is waited for at the start.
            return False
        now_ms = self._context.clock.fence_ms()
        resumed_ms = self._pauses.resumed_ms
        failed_ms = max(evidence.failed_ms, self._unanswered_ms)
        # A call whose time ran out in a pause says nothing about the store.
        if failed_ms >= resumed_ms and now_ms - failed_ms < AWAY_MS:
            return False
        if evidence.confirmed_ms < resumed_ms:
            return True
        return now_ms - evidence.confirmed_ms > STALE_AFTER_MS * interval_factor

    def age_ms(self, evidences: Iterable[ReplicaEvidence]) -> float:
        """Return the age of the oldest evidence."""
        oldest_ms = min((each.confirmed_ms for each in evidences), default=float('-inf'))
        return self._context.clock.fence_ms() - oldest_ms
