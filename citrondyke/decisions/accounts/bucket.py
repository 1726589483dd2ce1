"""A token bucket: at most rate x time + depth uses in any period."""

from __future__ import annotations

__all__ = ('TokenBucket',)


class TokenBucket:
    """A token bucket that starts empty.

    An instance that takes over from another one can't grant the same uses again.
    """

    def __init__(self, since_ms: float, remaining: float = 0.0) -> None:
        """Start to refill at ``since_ms``."""
        self._remaining = remaining
        self._updated_ms = since_ms

    def try_consume(self, rate_per_s: float, depth: float, now_ms: float) -> bool:
        """Consume one use if there is one; a lowered limit takes effect at once."""
        if self.remaining(rate_per_s, depth, now_ms) < 1.0:
            return False
        self.add(-1.0)
        return True

    def remaining(self, rate_per_s: float, depth: float, now_ms: float) -> float:
        """Return the remaining uses under the current limit."""
        added = max(0.0, now_ms - self._updated_ms) * rate_per_s / 1e3
        self._remaining = min(depth, self._remaining + added)
        self._updated_ms = max(self._updated_ms, now_ms)
        return self._remaining

    def add(self, count: float) -> None:
        """Add uses. A negative ``count`` may leave a debt, which is refilled first."""
        self._remaining += count
