"""Which failures of a repeated operation are logged."""

from __future__ import annotations

import msgspec

__all__ = ('LOG_EVERY_MS', 'QUIET_MS', 'FailureSeries', 'FailureSummary')

#: Interval of the log lines of an operation that keeps failing.
LOG_EVERY_MS = 10_000.0
#: A series has ended after this time without a failure. An operation that fails every few seconds
#: would otherwise log a failure and a recovery each time.
QUIET_MS = 5_000.0


class FailureSummary(msgspec.Struct, frozen=True):
    """A series of failures so far."""

    count: int
    since_ms: float


class FailureSeries:
    """Decide which failures of one operation are logged, and when it has recovered.

    An operation that fails several times a second for hours would fill the log with the same stack
    and displace other lines; logged once only, it would look like a single failure.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._count = 0
        self._first_ms = 0.0
        self._last_ms = 0.0
        self._logged_ms = float('-inf')

    def record_failure(self, now_ms: float) -> FailureSummary | None:
        """Record a failure; return the series so far if it is to be logged now."""
        if not self._count:
            self._first_ms = now_ms
        self._count += 1
        self._last_ms = now_ms
        if now_ms - self._logged_ms < LOG_EVERY_MS:
            return None
        self._logged_ms = now_ms
        return self._summary(now_ms)

    def record_success(self, now_ms: float) -> FailureSummary | None:
        """Record a success; return the series that has ended with it, if any."""
        if not self._count or now_ms - self._last_ms < QUIET_MS:
            return None
        ended = self._summary(now_ms)
        self._count = 0
        self._logged_ms = float('-inf')
        return ended

    def _summary(self, now_ms: float) -> FailureSummary:
        return FailureSummary(self._count, now_ms - self._first_ms)
