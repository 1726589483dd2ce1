"""How long work takes on a server's machine, as the server states it."""

from __future__ import annotations

__all__ = ('ReportedSlowdown',)

#: A server shares its machine; a figure of the moment loses half of its weight in this time.
HALF_LIFE_MS = 150.0
#: Figures beyond this many times the usual are no measurement.
IMPLAUSIBLE_FACTOR = 100.0
#: Figures count within these bounds: a wrong one must neither draw everybody nor hide a server.
MAX_SLOWDOWN = 4.0
MIN_SLOWDOWN = 0.25
#: Share of a new figure in the mean of a server's figures.
SMOOTHING_FACTOR = 0.1


class ReportedSlowdown:
    """Figures of one life of one server, each with its age.

    Answers machines that other work makes slow for some hundred ms at a time: what a server
    said a while ago tells of its usual state only.
    """

    def __init__(self) -> None:
        """Start without a figure."""
        self._last = 1.0
        self._last_ms = 0.0
        self._mean = 0.0

    @property
    def is_known(self) -> bool:
        """Tell whether the server states its pace."""
        return self._mean > 0.0

    def record(self, factor: float, now_ms: float) -> bool:
        """Take in a figure; tell whether it can be one.

        :param factor: how many times as long as usual work takes.
        """
        if not 0.0 < factor <= IMPLAUSIBLE_FACTOR:
            return False
        self._last = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, factor))
        self._last_ms = now_ms
        share = SMOOTHING_FACTOR if self.is_known else 1.0
        self._mean += share * (self._last - self._mean)
        return True

    def factor(self, now_ms: float) -> float:
        """Give what is to be expected now; 1.0 where nothing was stated."""
        if not self.is_known:
            return 1.0
        weight = 0.5 ** ((now_ms - self._last_ms) / HALF_LIFE_MS)
        return float(self._mean + weight * (self._last - self._mean))
