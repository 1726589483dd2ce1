"""Bounds how much work failures may add."""

from __future__ import annotations

__all__ = ('RetryBudget',)


class RetryBudget:
    """Repeats are paid for by successes, so that they cannot double an overload."""

    def __init__(self, share: float = 0.1, limit: float = 20.0) -> None:
        """Start full.

        :param share: repeats that one success pays for.
        :param most: repeats that can be saved up.
        """
        self._share = share
        self._limit = limit
        self._tokens = limit

    def deposit(self) -> None:
        """Take in a success."""
        self._tokens = min(self._limit, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Pay for one repeat; tell whether there was enough."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
