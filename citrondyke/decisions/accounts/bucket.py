"""A token bucket: at most rate x time + depth uses in any span of time."""

from __future__ import annotations

__all__ = ('TokenBucket',)


class TokenBucket:
    """Starts empty, so that whoever takes over from another lets nothing through twice."""

    def __init__(self, since_ms: float, level: float = 0.0) -> None:
        """Begin to fill."""
        self._level = level
        self._at_ms = since_ms

    def take(self, rate_per_s: float, depth: float, now_ms: float) -> bool:
        """Take one use out, by the limit as it is now; one that was lowered holds at once."""
        self._fill(rate_per_s, depth, now_ms)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def drain(self, count: int) -> None:
        """Take out what was used elsewhere; below nothing it fills up first."""
        self._level -= count

    def wait_ms(self, rate_per_s: float) -> float:
        """Give the time until there is room for one, as of the last ``take``."""
        return max(0.0, 1.0 - self._level) / rate_per_s * 1e3

    def _fill(self, rate_per_s: float, depth: float, now_ms: float) -> None:
        added = max(0.0, now_ms - self._at_ms) * rate_per_s / 1e3
        self._level = min(depth, self._level + added)
        self._at_ms = max(self._at_ms, now_ms)
