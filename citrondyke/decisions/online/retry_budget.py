"""Limits the load that retries add."""

from __future__ import annotations

__all__ = ('RetryBudget',)


class RetryBudget:
    """Budget of retries that successes refill, so that retries cannot double an overload."""

    def __init__(self, share: float = 0.1, limit: float = 20.0) -> None:
        """Start full.

        :param share: retries that one success adds.
        :param limit: largest budget.
        """
        self._share = share
        self._limit = limit
        self._tokens = limit

    def deposit(self) -> None:
        """Record a success."""
        self._tokens = min(self._limit, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
