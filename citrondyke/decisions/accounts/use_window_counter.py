"""A sliding window counter with time buckets."""

from __future__ import annotations

from collections import deque

__all__ = ('UseWindowCounter',)

BUCKET_MS = 50.0


class UseWindowCounter:
    """Counts events in a sliding window, in buckets of time.

    Counts whole buckets that overlap the window, so the count is never too low. Uses that are
    granted for a later time count at once.
    """

    def __init__(self, span_ms: float) -> None:
        """Initialize an empty counter.

        :param span_ms: length of the window.
        """
        self._span_ms = span_ms
        self._buckets: deque[list[int]] = deque()
        self._count = 0

    def record(self, at_ms: float) -> None:
        """Count one event at ``at_ms``."""
        index = int(at_ms // BUCKET_MS)
        if not self._buckets or self._buckets[-1][0] < index:
            self._buckets.append([index, 0])
        self._buckets[-1][1] += 1
        self._count += 1

    def count(self, now_ms: float) -> int:
        """Return the number of events in the window that ends now."""
        first = self._first_index(now_ms)
        while self._buckets and self._buckets[0][0] < first:
            self._count -= self._buckets.popleft()[1]
        return self._count

    def fits_at_ms(self, now_ms: float, allowed: float, additional: int) -> float:
        """Return when ``additional`` events fit into the window; infinity if they never do.

        :param allowed: largest number of events in a window.
        """
        excess = self.count(now_ms) + additional - allowed
        for index, count in self._buckets:
            if excess <= 0:
                break
            excess -= count
            now_ms = max(now_ms, (index + 1) * BUCKET_MS + self._span_ms)
        return now_ms if excess <= 0 else float('inf')

    def _first_index(self, now_ms: float) -> int:
        return int((now_ms - self._span_ms) // BUCKET_MS)
