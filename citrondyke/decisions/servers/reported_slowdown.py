"""Slowdown of a server's machine, as the server reports it."""

from __future__ import annotations

__all__ = ('ReportedSlowdown',)

#: A server shares its machine; a current value loses half of its weight in this time.
HALF_LIFE_MS = 150.0
#: Values beyond this many times the typical service time are not plausible.
IMPLAUSIBLE_FACTOR = 100.0
#: Bounds of a value: a wrong one must neither attract all requests nor keep all away.
MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.25
#: Weight of a new value in the mean.
SMOOTHING_FACTOR = 0.1


class ReportedSlowdown:
    """Reported slowdown of one server incarnation, weighted by age.

    Handles machines that other work slows down for some hundred ms at a time: an older value shows
    the server's typical state only.
    """

    def __init__(self) -> None:
        """Start without values."""
        self._last = 1.0
        self._last_ms = 0.0
        self._mean = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether the server reports its slowdown."""
        return self._mean > 0.0

    def record(self, factor: float, now_ms: float) -> bool:
        """Record a value; return whether it is plausible.

        :param factor: service time relative to the typical one.
        """
        if not 0.0 < factor <= IMPLAUSIBLE_FACTOR:
            return False
        self._last = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, factor))
        self._last_ms = now_ms
        share = SMOOTHING_FACTOR if self.is_known else 1.0
        self._mean += share * (self._last - self._mean)
        return True

    def factor(self, now_ms: float) -> float:
        """Return the slowdown expected now; 1.0 if none was reported."""
        if not self.is_known:
            return 1.0
        weight = 0.5 ** ((now_ms - self._last_ms) / HALF_LIFE_MS)
        return float(self._mean + weight * (self._last - self._mean))
