"""At which rate tokens leave the count of a route, at all instances together."""

from __future__ import annotations

__all__ = ('DrainRate',)

#: Share of a new measurement in the rate.
SMOOTHING = 0.4
#: Shortest time that is measured over: items end in lumps, and others tell of theirs every 300 ms.
MIN_INTERVAL_MS = 300.0


class DrainRate:
    """Learns from how much is accepted, used and left."""

    def __init__(self) -> None:
        """Start without a measurement."""
        #: Tokens that have left this instance's count since its start.
        self.left = 0
        #: At all instances; 0 where nothing has been measured.
        self.tokens_per_s = 0.0
        self._accepted = 0
        self._used_before = 0
        self._all_left: tuple[float, int] | None = None

    def record_accepted(self, tokens: int) -> None:
        """Take in what came into this instance's count; less than 0 where it did not after all."""
        self._accepted += tokens

    def record_used(self, used: int) -> None:
        """Take in what this instance's count is now."""
        self.left += max(0, self._used_before + self._accepted - used)
        self._used_before, self._accepted = used, 0

    def record_peer_usage(self, left: int, now_ms: float) -> None:
        """Take in what has left the others' counts."""
        all_left = left + self.left
        if self._all_left is not None:
            before_ms, before = self._all_left
            if now_ms - before_ms < MIN_INTERVAL_MS:
                return
            measured = max(0, all_left - before) / (now_ms - before_ms) * 1e3
            self.tokens_per_s += SMOOTHING * (measured - self.tokens_per_s)
        self._all_left = (now_ms, all_left)
