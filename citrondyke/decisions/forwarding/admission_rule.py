"""Decide whether an online request is admitted or rejected with a retry time."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.accounts.account import ANONYMOUS_ACCOUNT
from citrondyke.decisions.accounts.fair_share_policy import FairSharePolicy

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.ids import RouteName, ServiceName

__all__ = ('AdmissionRule', 'Admitted', 'Rejected')

#: Part of a route's target that a request may wait in a server's queue. A request that waits longer
#: misses its target, and so do those queued behind it.
WAIT_SHARE = 0.8
#: Part of that wait for accounts that must yield: the rest of the queue is left to other accounts.
YIELD_SHARE = 0.4
#: Service time in ms that is assumed before the first request of a route has ended.
INITIAL_SERVICE_TIME_MS = 200.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.1
MIN_RETRY_MS = 60.0
#: Callers wait at most a third of the time they have, which is 1.6 s of 5 s.
MAX_RETRY_MS = 1_600.0
#: Requests rejected within this time are expected to return; it equals the longest retry time.
EXPECTED_RETURN_MS = 1_600.0


class Admitted(msgspec.Struct, frozen=True):
    """The request is sent to its server."""

    expected_wait_ms: float


class Rejected(msgspec.Struct, frozen=True):
    """No capacity is expected in time."""

    expected_wait_ms: float
    #: Time until capacity is expected.
    retry_in_ms: float


class AdmissionRule:
    """Estimate a request's wait from the servers' capacity and the service time.

    Handles a burst on servers that are full of online work. Each server has a queue: without a
    bound every request in it would miss its target, while a short queue delays none too long. Retry
    times of rejected requests are spread over the time that the servers need to serve all of them.
    If all came back after the shortest wait, they would meet the same burst and be rejected for
    good.
    """

    def __init__(self, context: Context, registry: ServerRegistry) -> None:
        """Start without measurements."""
        self._context = context
        self._registry = registry
        self._fair_share = FairSharePolicy(context)
        self._service_time_ms: dict[RouteName, float] = {}
        self._rejected_ms: dict[ServiceName, deque[float]] = {}

    def record_service_time(self, route: Route, service_time_ms: float) -> None:
        """Record how long a request occupied its capacity."""
        mean_ms = self._service_time_ms.get(route.name, service_time_ms)
        self._service_time_ms[route.name] = mean_ms + SERVICE_TIME_SMOOTHING_FACTOR * (
            service_time_ms - mean_ms
        )

    def decide(
        self,
        route: Route,
        state: ServerState,
        left_ms: float,
        account: Account = ANONYMOUS_ACCOUNT,
        origin: StreamOrigin | None = None,
    ) -> Admitted | Rejected:
        """Decide whether the best server takes the request.

        :param left_ms: time until the caller's deadline.
        :param account: account that the request counts against.
        :param origin: origin of the stream to continue: only its servers' capacity can be waited
            for.
        """
        service = state.listed.service
        priority = account.priority_on(route.priority)
        self._fair_share.record_request(service, account.id)
        now_ms = self._context.now_ms()
        slots = max(1, state.listed.slots_count)
        queued_before = state.online_count(now_ms) + state.protected_batch_count(now_ms) - slots + 1
        service_time_ms = self._service_time_ms.get(route.name, INITIAL_SERVICE_TIME_MS)
        wait_ms = max(0.0, queued_before * service_time_ms / slots)
        if wait_ms <= 0.0 < left_ms:
            return Admitted(0.0)
        max_wait_ms = WAIT_SHARE * route.target_ms
        if self._fair_share.must_yield(service, account.id, priority):
            max_wait_ms *= YIELD_SHARE
        if wait_ms <= max_wait_ms and wait_ms < left_ms:
            return Admitted(wait_ms)
        self._fair_share.record_rejected(service, priority)
        excess_wait_ms = wait_ms - max_wait_ms
        retry_in_ms = self._retry_in_ms(state, service_time_ms, excess_wait_ms, origin)
        return Rejected(wait_ms, retry_in_ms)

    def _retry_in_ms(
        self,
        state: ServerState,
        service_time_ms: float,
        excess_wait_ms: float,
        origin: StreamOrigin | None,
    ) -> float:
        service = state.listed.service
        now_ms = self._context.now_ms()
        recent_rejections = self._rejected_ms.setdefault(service, deque())
        while recent_rejections and recent_rejections[0] <= now_ms - EXPECTED_RETURN_MS:
            recent_rejections.popleft()
        eligible = self._registry.eligible_servers(service, origin=origin)
        slots = sum(each.listed.slots_count for each in eligible)
        own_rate_per_ms = (
            max(1, slots) / service_time_ms / max(1, self._registry.topology.instances_count)
        )
        backlog_ms = len(recent_rejections) / own_rate_per_ms
        recent_rejections.append(now_ms)
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess_wait_ms + backlog_ms))
        # Random spread keeps callers that were rejected together from returning together.
        return retry_ms * (0.75 + 0.5 * self._context.random.random())
