"""Whether an online request is taken, or turned away at once with a time to come back."""

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
    from citrondyke.ids import RouteName, ServiceName

__all__ = ('AdmissionRule', 'Admitted', 'Rejected')

#: Part of a route's target that a request may wait in a server's queue. What lies beyond would be
#: late for sure, and everyone behind it too.
WAIT_SHARE = 0.8
#: Part of that wait for who steps back: the rest of the queue is for the others.
YIELD_SHARE = 0.4
#: Time that a request occupies a place before the first one has ended, in ms.
INITIAL_SERVICE_TIME_MS = 200.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.1
MIN_RETRY_MS = 60.0
#: Callers wait no longer than a third of the time they have, which is 1.6 s of 5 s.
MAX_RETRY_MS = 1_600.0
#: Requests that were turned away within this time are expected back; it is the longest that they
#: are asked to stay away.
EXPECTED_RETURN_MS = 1_600.0


class Admitted(msgspec.Struct, frozen=True):
    """The request goes to its server."""

    expected_wait_ms: float


class Rejected(msgspec.Struct, frozen=True):
    """No place is to be expected in time."""

    expected_wait_ms: float
    #: When a place is expected.
    retry_in_ms: float


class AdmissionRule:
    """Expects how long a request would wait, from the places and how long they are taken.

    Answers a burst on servers that are full of online work: each server keeps a queue, and
    without a bound on it everyone in it is late, while a short queue costs nobody. Those who are
    turned away are asked back over as long as the servers need for all of them: asked back after
    the shortest wait, they meet the same burst again and are turned away for good.
    """

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Start without a measurement."""
        self._context = context
        self._registry = book
        self._fair_share = FairSharePolicy(context)
        self._service_time_ms: dict[RouteName, float] = {}
        self._rejected_ms: dict[ServiceName, deque[float]] = {}

    def record_service_time(self, route: Route, stay_ms: float) -> None:
        """Take in how long a request occupied its place."""
        known = self._service_time_ms.get(route.name, stay_ms)
        self._service_time_ms[route.name] = known + SERVICE_TIME_SMOOTHING_FACTOR * (
            stay_ms - known
        )

    def decide(
        self,
        route: Route,
        state: ServerState,
        left_ms: float,
        account: Account = ANONYMOUS_ACCOUNT,
    ) -> Admitted | Rejected:
        """Decide for the best server.

        :param left_ms: time until the caller's deadline.
        :param account: whose request it is.
        """
        service = state.listed.service
        priority = account.priority_on(route.priority)
        self._fair_share.record_request(service, account.id)
        now_ms = self._context.now_ms()
        slots = max(1, state.listed.slots_count)
        ahead = state.online_count(now_ms) + state.protected_batch_count(now_ms) - slots + 1
        stay_ms = self._service_time_ms.get(route.name, INITIAL_SERVICE_TIME_MS)
        wait_ms = max(0.0, ahead * stay_ms / slots)
        if wait_ms <= 0.0 < left_ms:
            return Admitted(0.0)
        longest_ms = WAIT_SHARE * route.target_ms
        if self._fair_share.must_yield(service, account.id, priority):
            longest_ms *= YIELD_SHARE
        if wait_ms <= longest_ms and wait_ms < left_ms:
            return Admitted(wait_ms)
        self._fair_share.record_rejected(service, priority)
        late_ms = wait_ms - longest_ms
        return Rejected(wait_ms, self._retry_in_ms(state, stay_ms, late_ms))

    def _retry_in_ms(self, state: ServerState, stay_ms: float, late_ms: float) -> float:
        service = state.listed.service
        now_ms = self._context.now_ms()
        recent = self._rejected_ms.setdefault(service, deque())
        while recent and recent[0] <= now_ms - EXPECTED_RETURN_MS:
            recent.popleft()
        slots = sum(each.listed.slots_count for each in self._registry.eligible_servers(service))
        own_pace_per_ms = max(1, slots) / stay_ms / max(1, self._registry.topology.instances_count)
        back_ms = len(recent) / own_pace_per_ms
        recent.append(now_ms)
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, late_ms + back_ms))
        # Spread, so that those who were turned away together do not come back together.
        return retry_ms * (0.75 + 0.5 * self._context.random.random())
