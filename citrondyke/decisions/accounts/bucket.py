"""A token bucket: at most rate x time + depth uses in any span of time."""

from __future__ import annotations

__all__ = ('TokenBucket',)


class TokenBucket:
    """Starts empty, so that whoever takes over from another lets nothing through twice."""

    def __init__(self, since_ms: float, level: float = 0.0) -> None:
        """Begin to fill."""
        self._level = level
        self._at_ms = since_ms

    def try_consume(self, rate_per_s: float, depth: float, now_ms: float) -> bool:
        """Take one use out, by the limit as it is now; one that was lowered holds at once."""
        if self.remaining(rate_per_s, depth, now_ms) < 1.0:
            return False
        self.add(-1.0)
        return True

    def remaining(self, rate_per_s: float, depth: float, now_ms: float) -> float:
        """Give what is in it, by the limit as it is now."""
        added = max(0.0, now_ms - self._at_ms) * rate_per_s / 1e3
        self._level = min(depth, self._level + added)
        self._at_ms = max(self._at_ms, now_ms)
        return self._level

    def add(self, count: float) -> None:
        """Put some in, or take some out also where there is nothing: it fills up first."""
        self._level += count
