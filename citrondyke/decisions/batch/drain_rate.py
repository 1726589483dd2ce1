"""Rate at which tokens leave the backlog of a route, over all instances."""

from __future__ import annotations

__all__ = ('DrainRate',)

#: Weight of a new measurement in the moving average.
SMOOTHING = 0.4
#: Shortest interval to measure over: items finish in groups, and peers publish every 300 ms.
MIN_INTERVAL_MS = 300.0


class DrainRate:
    """Estimates the drain rate from accepted and used tokens."""

    def __init__(self) -> None:
        """Start without a measurement."""
        #: Tokens that have left this instance's backlog since its start.
        self.left = 0
        #: Over all instances; 0 before the first measurement.
        self.tokens_per_s = 0.0
        self._accepted = 0
        self._used_before = 0
        self._all_left: tuple[float, int] | None = None

    def record_accepted(self, tokens: int) -> None:
        """Record tokens added to this instance's backlog; negative to undo an acceptance."""
        self._accepted += tokens

    def record_used(self, used: int) -> None:
        """Record the current size of this instance's backlog, in tokens."""
        self.left += max(0, self._used_before + self._accepted - used)
        self._used_before, self._accepted = used, 0

    def record_peer_usage(self, left: int, now_ms: float) -> None:
        """Record how many tokens have left the backlogs of peers in total."""
        all_left = left + self.left
        if self._all_left is not None:
            before_ms, before = self._all_left
            if now_ms - before_ms < MIN_INTERVAL_MS:
                return
            measured = max(0, all_left - before) / (now_ms - before_ms) * 1e3
            self.tokens_per_s += SMOOTHING * (measured - self.tokens_per_s)
        self._all_left = (now_ms, all_left)
