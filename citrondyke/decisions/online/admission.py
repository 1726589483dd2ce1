"""Admits online requests, queues them fairly between tenants, or rejects them at once."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.rejection import Rejection, RejectionReason
from citrondyke.decisions.online.routing_event import no_usable_server

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.online.fleet import Fleet, TargetServers
    from citrondyke.ids import TargetName, TenantId

__all__ = ('Admission', 'Permit', 'QueuedRequest')

#: Above this share of the servers' comfort limits each tenant is limited to its fair share.
FAIR_SHARE_FROM = 0.6
#: Rejections count for about this long ...
SHED_MEMORY_MS = 500.0
#: ... and above this share of the granted permits they indicate more than a short burst.
SHED_SHARE = 0.2
SHED_MINIMUM = 3.0
#: Share of a class's first-token target that a request may spend waiting for a permit.
WAIT_SHARE = 0.5
#: The rate at which permits are released is averaged over about this long.
RATE_WINDOW_MS = 1000.0
MIN_RETRY_MS = 100.0
MAX_RETRY_MS = 30_000.0


class Permit(msgspec.Struct, frozen=True):
    """Permission to send one request to a backend server; see ``Admission.release``."""

    target: TargetName
    tenant_id: TenantId


class QueuedRequest(msgspec.Struct, frozen=True, eq=False):
    """A request that waits for a permit; after its time call ``Admission.abandon``."""

    tenant_id: TenantId
    #: Monotonic time after which the request would miss its target or deadline.
    until_ms: float
    outcome: Signal[Permit | Rejection]


class _TargetState:
    """Granted permits and waiting requests of one target."""

    def __init__(self) -> None:
        self.granted = 0
        self.granted_by_tenant: dict[TenantId, int] = {}
        #: Waiting requests by tenant; tenants are served round-robin in this order.
        self.waiting: OrderedDict[TenantId, deque[QueuedRequest]] = OrderedDict()
        self.waiting_count = 0
        #: Decaying count of recently rejected requests.
        self.shed_level = 0.0
        self.shed_at_ms = 0.0
        self.release_rate_per_ms = 0.0
        self.rate_updated_ms = 0.0


class Admission:
    """Permits for the servers of each target, shared between tenants.

    The capacity of this instance is the sum of the limits that the servers' stewards have learned,
    less the requests of other instances.
    """

    def __init__(self, context: Context, fleet: Fleet, waiting_limit: int) -> None:
        """Start without granted permits.

        :param waiting_limit: requests that may wait, for each target.
        """
        self._context = context
        self._fleet = fleet
        self._waiting_limit = waiting_limit
        self._states: dict[TargetName, _TargetState] = {}

    def acquire(
        self, target: TargetName, tenant_id: TenantId, target_ms: float, deadline_ms: float
    ) -> Permit | Rejection | QueuedRequest:
        """Request a permit.

        :param target_ms: the class's first-token target.
        :param deadline_ms: monotonic time after which the response is of no use.
        """
        servers = self._fleet.target(target)
        if servers is None or not any(view.accepts_work for view in servers.views):
            self._context.report(no_usable_server(target, servers, 0, self._context.now_ms()))
            return Rejection(RejectionReason.NO_SERVER, MIN_RETRY_MS * 10)
        state = self._states.setdefault(target, _TargetState())
        if self._has_capacity(state, servers, tenant_id):
            return self._admit(state, target, tenant_id)
        return self._queue(state, tenant_id, target_ms, deadline_ms)

    def release(self, permit: Permit) -> None:
        """Release a permit; it goes to the next waiting request."""
        state = self._states[permit.target]
        state.granted -= 1
        remaining = state.granted_by_tenant[permit.tenant_id] - 1
        if remaining:
            state.granted_by_tenant[permit.tenant_id] = remaining
        else:
            del state.granted_by_tenant[permit.tenant_id]
        self._update_release_rate(state)
        self.grant_queued(permit.target)

    def grant_queued(self, target: TargetName) -> None:
        """Grant free permits to waiting requests, round-robin between tenants."""
        state = self._states.get(target)
        servers = self._fleet.target(target)
        if state is None or not state.waiting_count:
            return
        now_ms = self._context.now_ms()
        self._drop_expired(state, now_ms)
        if servers is None:
            return
        for tenant_id in list(state.waiting):
            if not self._has_capacity(state, servers, tenant_id):
                continue
            queued = self._pop(state, tenant_id)
            queued.outcome.fire(self._admit(state, target, tenant_id))

    def abandon(self, target: TargetName, queued: QueuedRequest) -> Rejection:
        """Remove a request from the queue; release a permit that it was just granted."""
        state = self._states[target]
        if queued.outcome.is_fired:
            answer = queued.outcome.value
            if isinstance(answer, Permit):
                self.release(answer)
            return Rejection(RejectionReason.OVERLOADED, self._retry_in_ms(state))
        queue = state.waiting[queued.tenant_id]
        queue.remove(queued)
        state.waiting_count -= 1
        if not queue:
            del state.waiting[queued.tenant_id]
        return Rejection(RejectionReason.OVERLOADED, self._retry_in_ms(state))

    def waiting_count(self, target: TargetName) -> int:
        """Return how many requests wait for a target."""
        state = self._states.get(target)
        return 0 if state is None else state.waiting_count

    def _capacity(self, servers: TargetServers) -> tuple[int, int]:
        """Return this instance's capacity: the servers' limits less the peers' requests.

        :returns: the capacity by the servers' online limits, and by their comfort limits.
        """
        now_ms = self._context.now_ms()
        online_capacity = comfort_capacity = 0
        for view in servers.views:
            if not view.accepts_work:
                continue
            peer_requests = view.peer_requests_at(now_ms)
            online_capacity += max(0, view.online_limit - peer_requests)
            comfort_capacity += max(0, view.comfort_limit - peer_requests)
        return online_capacity, comfort_capacity

    def _has_capacity(
        self, state: _TargetState, servers: TargetServers, tenant_id: TenantId
    ) -> bool:
        """Return whether a tenant's next request may be sent.

        A short burst may fill the servers up to their online limits, at which the targets are
        still met. If requests have to be rejected anyway, load beyond the comfort limits would
        only slow down every response and lower the throughput, so the comfort limits apply.
        """
        online_capacity, comfort_capacity = self._capacity(servers)
        limit = comfort_capacity if self._is_shedding(state) else online_capacity
        if state.granted >= limit:
            return False
        return not self._is_over_share(state, tenant_id, comfort_capacity)

    def _is_shedding(self, state: _TargetState) -> bool:
        elapsed_ms = self._context.now_ms() - state.shed_at_ms
        level = state.shed_level * max(0.0, 1 - elapsed_ms / SHED_MEMORY_MS)
        return level > max(SHED_MINIMUM, SHED_SHARE * state.granted)

    def _record_shed(self, state: _TargetState) -> None:
        now_ms = self._context.now_ms()
        fading = max(0.0, 1 - (now_ms - state.shed_at_ms) / SHED_MEMORY_MS)
        state.shed_level = state.shed_level * fading + 1
        state.shed_at_ms = now_ms

    def _is_over_share(
        self, state: _TargetState, tenant_id: TenantId, comfort_capacity: int
    ) -> bool:
        """Return whether a tenant exceeds its fair share while permits are scarce.

        Without this limit a burst of one tenant takes every permit, and the other tenants wait
        although their load has not changed.
        """
        if state.granted < comfort_capacity * FAIR_SHARE_FROM:
            return False
        tenants = set(state.granted_by_tenant)
        tenants.update(state.waiting)
        tenants.add(tenant_id)
        share = max(1.0, comfort_capacity * FAIR_SHARE_FROM / len(tenants))
        return len(tenants) > 1 and state.granted_by_tenant.get(tenant_id, 0) >= share

    def _admit(self, state: _TargetState, target: TargetName, tenant_id: TenantId) -> Permit:
        state.granted += 1
        state.granted_by_tenant[tenant_id] = state.granted_by_tenant.get(tenant_id, 0) + 1
        return Permit(target, tenant_id)

    def _queue(
        self, state: _TargetState, tenant_id: TenantId, target_ms: float, deadline_ms: float
    ) -> Rejection | QueuedRequest:
        now_ms = self._context.now_ms()
        if deadline_ms <= now_ms:
            return Rejection(RejectionReason.DEADLINE, self._retry_in_ms(state))
        wait_ms = min(target_ms * WAIT_SHARE, deadline_ms - now_ms)
        own_queue = state.waiting.get(tenant_id)
        queued_before = len(own_queue) * len(state.waiting) if own_queue else len(state.waiting)
        if state.waiting_count >= self._waiting_limit or not self._can_start_in_time(
            state, queued_before, wait_ms
        ):
            self._record_shed(state)
            return Rejection(RejectionReason.OVERLOADED, self._retry_in_ms(state))
        queued = QueuedRequest(tenant_id, now_ms + wait_ms, Signal())
        state.waiting.setdefault(tenant_id, deque()).append(queued)
        state.waiting_count += 1
        return queued

    def _can_start_in_time(self, state: _TargetState, queued_before: int, wait_ms: float) -> bool:
        """Return whether a permit is expected in time; otherwise an early rejection is better."""
        if state.release_rate_per_ms <= 0.0:
            return queued_before == 0
        return (queued_before + 1) / state.release_rate_per_ms <= wait_ms

    def _retry_in_ms(self, state: _TargetState) -> float:
        if state.release_rate_per_ms <= 0.0:
            return MIN_RETRY_MS * 10
        backlog_ms = (state.waiting_count + 1) / state.release_rate_per_ms
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, backlog_ms))
        # Spread, so that callers that were rejected together do not retry together.
        return retry_ms * (1 + self._context.random.random())

    def _update_release_rate(self, state: _TargetState) -> None:
        now_ms = self._context.now_ms()
        elapsed_ms = now_ms - state.rate_updated_ms
        state.rate_updated_ms = now_ms
        decay = max(0.0, 1 - elapsed_ms / RATE_WINDOW_MS)
        state.release_rate_per_ms = state.release_rate_per_ms * decay + 1 / RATE_WINDOW_MS

    def _drop_expired(self, state: _TargetState, now_ms: float) -> None:
        for tenant_id, queue in list(state.waiting.items()):
            while queue and queue[0].until_ms <= now_ms:
                expired = self._pop(state, tenant_id)
                expired.outcome.fire(
                    Rejection(RejectionReason.OVERLOADED, self._retry_in_ms(state))
                )

    def _pop(self, state: _TargetState, tenant_id: TenantId) -> QueuedRequest:
        """Remove a tenant's oldest request and move the tenant to the end of the order."""
        queue = state.waiting[tenant_id]
        queued = queue.popleft()
        state.waiting_count -= 1
        if queue:
            state.waiting.move_to_end(tenant_id)
        else:
            del state.waiting[tenant_id]
        return queued
