"""Uses that replicas grant while a slot has no steward."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.bucket import TokenBucket

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
    from citrondyke.ids import TenantId

__all__ = ('FallbackAllowance',)


class FallbackAllowance:
    """A small part of the overshoot budget, granted locally while a slot has no steward."""

    def __init__(self, budget: OvershootBudget, began_ms: float) -> None:
        """Initialize the allowance.

        :param began_ms: start of this incarnation, by the fence clock.
        """
        self._budget = budget
        self._began_ms = began_ms
        self._buckets: dict[TenantId, TokenBucket] = {}

    def try_consume(self, account: Account, now_ms: float) -> bool:
        """Consume one use of an account's allowance, if any is left."""
        bucket = self._buckets.get(account.id)
        if bucket is None:
            first = self._budget.fallback_initial(account.rate_per_s)
            bucket = self._buckets[account.id] = TokenBucket(self._began_ms, first)
        depth = self._budget.fallback_depth(account.rate_per_s)
        return bucket.try_consume(self._budget.fallback_rate_per_s, depth, now_ms)
