"""Limits kept by everybody's count of everybody's uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.drained_bucket import DrainedBucket
from citrondyke.decisions.accounts.fleet_rate_limiter import (
    FleetRateLimiter,
    LimitVerdict,
    QuotaQuery,
    VerdictKind,
)
from citrondyke.decisions.accounts.limit_messages import (
    Addressed,
    LimitMessage,
    UseAnswered,
    UseNeed,
)
from citrondyke.ids import TenantId

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('CountedLimits',)


class UsesTold(LimitMessage, frozen=True):
    """How often accounts were used at the sender since it last told."""

    uses: list[tuple[TenantId, int]]


class CountedLimits(FleetRateLimiter):
    """Each instance has a bucket of its own for each account and takes out what the others tell.

    A request waits for nobody; what is told late lets too much through.
    """

    def __init__(
        self,
        context: Context,
        members: Callable[[], tuple[InstanceId, ...]],
        find: Callable[[TenantId], Account | None],
        tolerance: OvershootBudget,
    ) -> None:
        """Start with empty buckets."""
        self._context = context
        self._members = members
        self._find = find
        self._tolerance = tolerance
        self._buckets: dict[TenantId, DrainedBucket] = {}
        self._untold: dict[TenantId, int] = {}
        self._began_ms = context.clock.fence_ms()

    def next_step(
        self, account: Account, need: UseNeed, tried: set[InstanceId]
    ) -> LimitVerdict | QuotaQuery:
        """Decide about one request."""
        del need, tried
        if not account.has_limit:
            return LimitVerdict(VerdictKind.WITHIN)
        now_ms = self._context.clock.fence_ms()
        bucket = self._bucket(account)
        if bucket.try_consume(
            account.rate_per_s, self._tolerance.depth(account.rate_per_s, account.burst), now_ms
        ):
            self._untold[account.id] = self._untold.get(account.id, 0) + 1
            return LimitVerdict(VerdictKind.WITHIN)
        return LimitVerdict(VerdictKind.OVER, bucket.wait_ms(account.rate_per_s))

    def apply_answer(
        self, account: Account, sender: InstanceId, answer: UseAnswered
    ) -> LimitVerdict | None:
        """Take in nothing: nobody is asked."""

    def record_no_reply(self, account: Account, receiver: InstanceId) -> None:
        """Take in nothing: nobody is asked."""

    def on_message(self, sender: InstanceId, message: LimitMessage) -> list[Addressed]:
        """Take out what was used elsewhere."""
        if isinstance(message, UsesTold):
            for account_id, count in message.uses:
                account = self._find(account_id)
                if account is not None:
                    self._bucket(account).drain(count)
        return []

    def tick(self) -> list[Addressed]:
        """Tell everybody what was used here."""
        if not self._untold:
            return []
        told = UsesTold(sorted(self._untold.items()))
        self._untold = {}
        own_id = self._context.instance_id
        return [Addressed(each, told) for each in self._members() if each != own_id]

    def _bucket(self, account: Account) -> DrainedBucket:
        return self._buckets.setdefault(account.id, DrainedBucket(self._began_ms))
