"""Limits the transactions per second of one instance."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ('TransactionRateLimiter',)

#: Capacity of the token bucket.
BURST = 8.0


class TransactionRateLimiter:
    """Token bucket whose rate is this instance's share of the fleet's rate limit."""

    def __init__(self, fleet_per_s: float, live_count: Callable[[], int]) -> None:
        """Start full.

        :param fleet_per_s: transactions per second, summed over all instances.
        :param live_count: returns the current number of live instances.
        """
        self._fleet_per_s = fleet_per_s
        self._live_count = live_count
        self._tokens = BURST
        self._refilled_ms: float | None = None

    def next_ms(self, now_ms: float) -> float:
        """Return the time from which the next transaction is allowed."""
        self._refill(now_ms)
        if self._tokens >= 1.0:
            return now_ms
        return now_ms + (1.0 - self._tokens) / self._rate_per_ms()

    def spend(self, now_ms: float) -> None:
        """Count a transaction."""
        self._refill(now_ms)
        self._tokens -= 1.0

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) * self._rate_per_ms()
            self._tokens = min(BURST, self._tokens + gained)
        self._refilled_ms = now_ms

    def _rate_per_ms(self) -> float:
        return self._fleet_per_s / max(1, self._live_count()) / 1000
