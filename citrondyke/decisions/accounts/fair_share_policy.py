"""Which requests are rejected when servers are full."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName, TenantId

__all__ = ('FairSharePolicy',)

#: Period over which each account's requests are counted. Long enough for some requests of each
#: account, also on an instance that receives few.
RECENT_MS = 4_000.0
RECENT_REQUESTS_LIMIT = 2_000
#: An account that sends more than this many times the mean of the other accounts must yield.
HEAVY_USER_FACTOR = 2.0
#: An account with fewer requests isn't heavy: the count may be due to chance.
HEAVY_USER_MIN_REQUESTS = 4
#: Time for which less urgent requests yield after a more urgent one was rejected.
YIELD_MS = 1_000.0
#: Share of the yielding requests that are admitted anyway, so that no account starves.
MIN_ADMIT_SHARE = 1 / 3


class _RecentRequest(msgspec.Struct, frozen=True):
    at_ms: float
    account: TenantId


class _ServiceHistory(msgspec.Struct):
    requests: deque[_RecentRequest]
    counts: Counter[TenantId]
    #: Time at which a request of each priority was last rejected.
    rejected_ms: dict[int, float]


class FairSharePolicy:
    """Decides which requests must yield to others when servers are full.

    Handles full servers while one account sends many times more than the others, though within its
    limit: first come, first served would give it most of the capacity. Also handles full servers
    that receive requests of several priorities: less urgent ones yield.
    """

    def __init__(self, context: Context) -> None:
        """Initialize the policy without history."""
        self._context = context
        self._services: dict[ServiceName, _ServiceHistory] = {}

    def record_request(self, service: ServiceName, account: TenantId) -> None:
        """Count a request of an account."""
        history = self._history_of(service)
        now_ms = self._context.now_ms()
        history.requests.append(_RecentRequest(now_ms, account))
        history.counts[account] += 1
        while (
            history.requests[0].at_ms < now_ms - RECENT_MS
            or len(history.requests) > RECENT_REQUESTS_LIMIT
        ):
            oldest = history.requests.popleft().account
            history.counts[oldest] -= 1
            if not history.counts[oldest]:
                del history.counts[oldest]

    def record_rejected(self, service: ServiceName, priority: int) -> None:
        """Record that a request of a priority was rejected for lack of capacity."""
        self._history_of(service).rejected_ms[priority] = self._context.now_ms()

    def must_yield(self, service: ServiceName, account: TenantId, priority: int) -> bool:
        """Return whether a request is rejected so that others get the remaining capacity."""
        history = self._history_of(service)
        if not self._is_heavy(history, account) and not self._is_less_urgent(history, priority):
            return False
        return self._context.random.random() >= MIN_ADMIT_SHARE

    @staticmethod
    def _is_heavy(history: _ServiceHistory, account: TenantId) -> bool:
        own_count = history.counts[account]
        if not account or own_count < HEAVY_USER_MIN_REQUESTS or len(history.counts) < 2:  # noqa: PLR2004
            return False
        others_mean_count = (len(history.requests) - own_count) / (len(history.counts) - 1)
        return own_count > HEAVY_USER_FACTOR * others_mean_count

    def _is_less_urgent(self, history: _ServiceHistory, priority: int) -> bool:
        since_ms = self._context.now_ms() - YIELD_MS
        return any(
            other_priority < priority and at_ms > since_ms
            for other_priority, at_ms in history.rejected_ms.items()
        )

    def _history_of(self, service: ServiceName) -> _ServiceHistory:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceHistory(deque(), Counter(), {})
        return found
