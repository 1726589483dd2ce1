"""How quick a server is for its whole life, as its answers show."""

from __future__ import annotations

__all__ = ('LatencyRatio',)

#: Share of one answer in the mean: times of answers spread by a half, and some ten of them tell
#: a quick server from a slow one.
SMOOTHING_FACTOR = 0.1
#: One answer counts within these bounds: one request in a hundred takes five times as long.
MAX_SLOWDOWN = 3.0
MIN_SLOWDOWN = 0.3


class LatencyRatio:
    """Mean of an answer's time over the usual one; 1.0 is the service's middle."""

    def __init__(self) -> None:
        """Start at the middle of the service."""
        self.factor = 1.0

    def record(self, took_ms: float, usual_ms: float) -> None:
        """Take in an answer.

        :param usual_ms: time of an answer to such a request at a server of the middle now.
        """
        if usual_ms <= 0.0:
            return
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, took_ms / usual_ms))
        self.factor += SMOOTHING_FACTOR * (ratio - self.factor)
