"""How requests ended at one server lately, as one instance saw it."""

from __future__ import annotations

from collections import deque
from enum import Enum

import msgspec

__all__ = ('Outcome', 'OutcomeCounts', 'OutcomeWindow')

#: Results count for so long. A server that has recovered is used by all again within seconds,
#: and at five requests a second one that fails every third shows five failures in it.
WINDOW_MS = 3_000.0
#: Results of this span are kept as one.
BUCKET_MS = 100.0
NEVER_MS = float('-inf')


class Outcome(Enum):
    """How a request ended at a server, by what it shows of the server."""

    #: It answered as it should.
    SUCCEEDED = 'succeeded'
    #: It said itself that it failed, so that nothing else can be at fault.
    FAILED = 'failed'
    #: No answer came, or none that can be read; the link may be at fault.
    UNANSWERED = 'unanswered'


class OutcomeCounts(msgspec.Struct, frozen=True):
    """Numbers of results."""

    failed: int = 0
    unanswered: int = 0
    succeeded: int = 0


class _Bucket(msgspec.Struct):
    started_ms: float
    counts: dict[Outcome, int]


class OutcomeWindow:
    """Results of the last seconds; the time of the last one of each kind."""

    def __init__(self) -> None:
        """Start without a result."""
        self._buckets: deque[_Bucket] = deque()
        self._last_ms = dict.fromkeys(Outcome, NEVER_MS)

    def record(self, outcome: Outcome, now_ms: float) -> None:
        """Take in a result."""
        turned = outcome is Outcome.SUCCEEDED and self.last_failure_ms > self._last_ms[outcome]
        self._last_ms[outcome] = now_ms
        if turned or not self._buckets or now_ms - self._buckets[-1].started_ms >= BUCKET_MS:
            self._buckets.append(_Bucket(now_ms, dict.fromkeys(Outcome, 0)))
            self._drop_expired(now_ms)
        self._buckets[-1].counts[outcome] += 1

    def last_ms(self, outcome: Outcome) -> float:
        """Give the time of the last result of a kind; minus infinity before the first."""
        return self._last_ms[outcome]

    @property
    def last_failure_ms(self) -> float:
        """Give the time of the last failure of either kind; minus infinity before the first."""
        return max(self._last_ms[Outcome.FAILED], self._last_ms[Outcome.UNANSWERED])

    def counts_since(self, since_ms: float, now_ms: float) -> OutcomeCounts:
        """Add up what came since a time, about, within the window."""
        self._drop_expired(now_ms)
        found = [slot.counts for slot in self._buckets if slot.started_ms + BUCKET_MS > since_ms]
        return OutcomeCounts(
            sum(counts[Outcome.FAILED] for counts in found),
            sum(counts[Outcome.UNANSWERED] for counts in found),
            sum(counts[Outcome.SUCCEEDED] for counts in found),
        )

    def successes_after(self, since_ms: float) -> int:
        """Count the successes that came after a time."""
        return sum(
            slot.counts[Outcome.SUCCEEDED] for slot in self._buckets if slot.started_ms > since_ms
        )

    def _drop_expired(self, now_ms: float) -> None:
        while self._buckets and self._buckets[0].started_ms <= now_ms - WINDOW_MS:
            self._buckets.popleft()
