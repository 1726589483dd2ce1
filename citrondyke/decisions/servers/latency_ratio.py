"""Lasting speed of a server, derived from the latency of its answers."""

from __future__ import annotations

__all__ = ('LatencyRatio',)

#: Weight of one answer in the mean: latencies vary by a half, and some ten answers tell a fast
#: server from a slow one.
SMOOTHING_FACTOR = 0.1
#: Bounds of the ratio of one answer: one request in a hundred takes five times the mean.
MAX_SLOWDOWN = 3.0
MIN_SLOWDOWN = 0.3


class LatencyRatio:
    """Mean ratio of a server's latencies to the typical ones; 1.0 is the service's average."""

    def __init__(self) -> None:
        """Start at the average of the service."""
        self.factor = 1.0

    def record(self, latency_ms: float, typical_ms: float) -> None:
        """Record an answer.

        :param typical_ms: current latency of such a request at an average server.
        """
        if typical_ms <= 0.0:
            return
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, latency_ms / typical_ms))
        self.factor += SMOOTHING_FACTOR * (ratio - self.factor)
