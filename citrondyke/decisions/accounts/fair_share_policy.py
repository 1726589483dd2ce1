"""Whose request steps back where not all fit."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName, TenantId

__all__ = ('FairSharePolicy',)

#: What came within this time tells how much each account asks for: some requests of each, also
#: where an instance gets few.
RECENT_MS = 4_000.0
RECENT_REQUESTS_LIMIT = 2_000
#: An account that asks for more than this many times the mean of all steps back.
HEAVY_USER_FACTOR = 2.0
#: Fewer requests than these make nobody heavy: they are chance.
HEAVY_USER_MIN_REQUESTS = 4
#: After a more urgent request was turned away, less urgent ones step back for so long.
YIELD_MS = 1_000.0
#: Part of those that are to step back and do not, so that nobody is turned away for good.
MIN_ADMIT_SHARE = 1 / 3


class _RecentRequest(msgspec.Struct, frozen=True):
    at_ms: float
    account: TenantId


class _ServiceHistory(msgspec.Struct):
    requests: deque[_RecentRequest]
    counts: Counter[TenantId]
    #: When a request of each priority was last turned away.
    rejected_ms: dict[int, float]


class FairSharePolicy:
    """Tells accounts that take more than their turn from the others.

    Answers servers that are full while one account sends many times what the others do, though no
    more than its limit: first come first served would leave the others what is left over. It also
    answers full servers that serve requests of several priorities.
    """

    def __init__(self, context: Context) -> None:
        """Start having seen nothing."""
        self._context = context
        self._services: dict[ServiceName, _ServiceHistory] = {}

    def record_request(self, service: ServiceName, account: TenantId) -> None:
        """Take in that a request has come."""
        recent = self._history_of(service)
        now_ms = self._context.now_ms()
        recent.requests.append(_RecentRequest(now_ms, account))
        recent.counts[account] += 1
        while (
            recent.requests[0].at_ms < now_ms - RECENT_MS
            or len(recent.requests) > RECENT_REQUESTS_LIMIT
        ):
            oldest = recent.requests.popleft().account
            recent.counts[oldest] -= 1
            if not recent.counts[oldest]:
                del recent.counts[oldest]

    def record_rejected(self, service: ServiceName, priority: int) -> None:
        """Take in that a request of a priority got no place."""
        self._history_of(service).rejected_ms[priority] = self._context.now_ms()

    def must_yield(self, service: ServiceName, account: TenantId, priority: int) -> bool:
        """Tell whether a request leaves the places that are left to others."""
        recent = self._history_of(service)
        if not self._is_heavy(recent, account) and not self._is_less_urgent(recent, priority):
            return False
        return self._context.random.random() >= MIN_ADMIT_SHARE

    @staticmethod
    def _is_heavy(recent: _ServiceHistory, account: TenantId) -> bool:
        own = recent.counts[account]
        if not account or own < HEAVY_USER_MIN_REQUESTS or len(recent.counts) < 2:  # noqa: PLR2004
            return False
        others_mean = (len(recent.requests) - own) / (len(recent.counts) - 1)
        return own > HEAVY_USER_FACTOR * others_mean

    def _is_less_urgent(self, recent: _ServiceHistory, priority: int) -> bool:
        from_ms = self._context.now_ms() - YIELD_MS
        return any(
            urgent < priority and at_ms > from_ms for urgent, at_ms in recent.rejected_ms.items()
        )

    def _history_of(self, service: ServiceName) -> _ServiceHistory:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceHistory(deque(), Counter(), {})
        return found
