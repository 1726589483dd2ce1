"""Recent outcomes of requests at one server, as one instance observed them."""

from __future__ import annotations

from collections import deque
from enum import Enum

import msgspec

__all__ = ('Outcome', 'OutcomeCounts', 'OutcomeWindow')

#: Time for which outcomes count. A server that has recovered is used by all again within seconds,
#: and a server that gets five requests a second and fails every third shows five failures in this
#: time.
WINDOW_MS = 3_000.0
#: Outcomes within this span share a bucket.
BUCKET_MS = 100.0
NEVER_MS = float('-inf')


class Outcome(Enum):
    """Outcome of a request at a server, by what it shows about the server."""

    #: The server answered as intended.
    SUCCEEDED = 'succeeded'
    #: The server itself reported a failure, so that nothing else can be the cause.
    FAILED = 'failed'
    #: No readable answer arrived; the network may be the cause.
    UNANSWERED = 'unanswered'


class OutcomeCounts(msgspec.Struct, frozen=True):
    """Number of outcomes of each kind."""

    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0


class _Bucket(msgspec.Struct):
    started_ms: float
    counts: dict[Outcome, int]


class OutcomeWindow:
    """Outcomes of the last seconds in buckets, and the time of the last one of each kind."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._buckets: deque[_Bucket] = deque()
        self._last_ms = dict.fromkeys(Outcome, NEVER_MS)

    def record(self, outcome: Outcome, now_ms: float) -> None:
        """Record an outcome."""
        is_recovery = outcome is Outcome.SUCCEEDED and self.last_failure_ms > self._last_ms[outcome]
        self._last_ms[outcome] = now_ms
        if is_recovery or not self._buckets or now_ms - self._buckets[-1].started_ms >= BUCKET_MS:
            self._buckets.append(_Bucket(now_ms, dict.fromkeys(Outcome, 0)))
            self._drop_expired(now_ms)
        self._buckets[-1].counts[outcome] += 1

    def last_ms(self, outcome: Outcome) -> float:
        """Return the time of the last outcome of a kind; minus infinity before the first."""
        return self._last_ms[outcome]

    @property
    def last_failure_ms(self) -> float:
        """Return the time of the last failure of either kind; minus infinity before the first."""
        return max(self._last_ms[Outcome.FAILED], self._last_ms[Outcome.UNANSWERED])

    def counts_since(self, since_ms: float, now_ms: float) -> OutcomeCounts:
        """Count the outcomes in the window since a time, to the accuracy of a bucket."""
        self._drop_expired(now_ms)
        buckets = [
            bucket.counts for bucket in self._buckets if bucket.started_ms + BUCKET_MS > since_ms
        ]
        return OutcomeCounts(
            sum(counts[Outcome.FAILED] for counts in buckets),
            sum(counts[Outcome.UNANSWERED] for counts in buckets),
            sum(counts[Outcome.SUCCEEDED] for counts in buckets),
        )

    def successes_after(self, since_ms: float) -> int:
        """Count the successes after a time."""
        return sum(
            bucket.counts[Outcome.SUCCEEDED]
            for bucket in self._buckets
            if bucket.started_ms > since_ms
        )

    def _drop_expired(self, now_ms: float) -> None:
        while self._buckets and self._buckets[0].started_ms <= now_ms - WINDOW_MS:
            self._buckets.popleft()
