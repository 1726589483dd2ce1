"""Counts what happened in the last window, by cells of time."""

from __future__ import annotations

from collections import deque

__all__ = ('UseWindowCounter',)

BUCKET_MS = 50.0


class UseWindowCounter:
    """Counts whole cells that reach into the span: never less than what happened in it.

    Uses that are granted for a moment ahead count at once.
    """

    def __init__(self, span_ms: float) -> None:
        """Count nothing yet."""
        self._span_ms = span_ms
        self._buckets: deque[list[int]] = deque()
        self._count = 0

    def record(self, at_ms: float) -> None:
        """Count one more."""
        index = int(at_ms // BUCKET_MS)
        if not self._buckets or self._buckets[-1][0] < index:
            self._buckets.append([index, 0])
        self._buckets[-1][1] += 1
        self._count += 1

    def count(self, now_ms: float) -> int:
        """Give how many there were in the span that ends now."""
        first = self._first_index(now_ms)
        while self._buckets and self._buckets[0][0] < first:
            self._count -= self._buckets.popleft()[1]
        return self._count

    def fits_at_ms(self, now_ms: float, allowed: float, more: int) -> float:
        """Give when so many more fit below what is allowed."""
        over = self.count(now_ms) + more - allowed
        for index, count in self._buckets:
            if over <= 0:
                break
            over -= count
            now_ms = max(now_ms, (index + 1) * BUCKET_MS + self._span_ms)
        return now_ms if over <= 0 else float('inf')

    def _first_index(self, now_ms: float) -> int:
        return int((now_ms - self._span_ms) // BUCKET_MS)
