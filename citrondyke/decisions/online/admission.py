"""Lets online requests in, makes them wait in fair turns, or turns them away at once."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.refusal import Refusal, RefusalReason

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.online.fleet import Fleet, TargetServers
    from citrondyke.ids import TargetName, TenantId

__all__ = ('Admission', 'Place', 'WaitingForCapacity')

#: Above this part of what the servers do comfortably a tenant is held to its share.
FAIR_FROM = 0.6
#: Refusals are remembered for about so long ...
SHED_MEMORY_MS = 500.0
#: ... and where they are more than this part of the requests inside, it is no passing burst.
SHED_SHARE = 0.2
SHED_LEAST = 3.0
#: Part of a class's first-token target that a request may spend waiting for a place.
WAIT_SHARE = 0.5
#: The pace at which places become free is averaged over about so long.
PACE_WINDOW_MS = 1000.0
SHORTEST_RETRY_MS = 100.0
MAX_RETRY_MS = 30_000.0


class Place(msgspec.Struct, frozen=True):
    """Leave to send a request to a backend server; given back with ``Admission.leave``."""

    target: TargetName
    tenant_id: TenantId


class WaitingForCapacity(msgspec.Struct, frozen=True, eq=False):
    """A place in the queue; ask again with ``Admission.give_up`` when its time is over."""

    tenant_id: TenantId
    #: When waiting longer would spoil the request's target or deadline.
    until_ms: float
    outcome: Signal[Place | Refusal]


class _TargetQueue:
    """One target's places and its queue."""

    def __init__(self) -> None:
        self.inside = 0
        self.inside_by_tenant: dict[TenantId, int] = {}
        #: Waiting requests by tenant; tenants take turns in this order.
        self.waiting: OrderedDict[TenantId, deque[WaitingForCapacity]] = OrderedDict()
        self.waiting_count = 0
        #: Requests turned away of late, fading.
        self.shed_level = 0.0
        self.shed_at_ms = 0.0
        self.leave_pace_per_ms = 0.0
        self.paced_at_ms = 0.0


class Admission:
    """Places on the servers of each target, shared between tenants.

    The capacity of this instance is its part of what the servers bear, by their stewards'
    learned limits: what other instances have on them is taken off.
    """

    def __init__(self, context: Context, fleet: Fleet, waiting_limit: int) -> None:
        """Start with all places free.

        :param waiting_limit: requests that may wait, for each target.
        """
        self._context = context
        self._fleet = fleet
        self._waiting_limit = waiting_limit
        self._doors: dict[TargetName, _TargetQueue] = {}

    def enter(
        self, target: TargetName, tenant_id: TenantId, target_ms: float, deadline_ms: float
    ) -> Place | Refusal | WaitingForCapacity:
        """Ask for a place.

        :param target_ms: the class's target for the first token.
        :param deadline_ms: monotonic time after which the answer is of no use.
        """
        servers = self._fleet.target(target)
        if servers is None or not any(view.accepts_work for view in servers.views):
            return Refusal(RefusalReason.NO_SERVER, SHORTEST_RETRY_MS * 10)
        door = self._doors.setdefault(target, _TargetQueue())
        if self._fits(door, servers, tenant_id):
            return self._admit(door, target, tenant_id)
        return self._queue(door, tenant_id, target_ms, deadline_ms)

    def leave(self, place: Place) -> None:
        """Give a place back; whoever's turn it is gets it."""
        door = self._doors[place.target]
        door.inside -= 1
        left = door.inside_by_tenant[place.tenant_id] - 1
        if left:
            door.inside_by_tenant[place.tenant_id] = left
        else:
            del door.inside_by_tenant[place.tenant_id]
        self._pace(door)
        self.refill(place.target)

    def refill(self, target: TargetName) -> None:
        """Hand free places to those who wait, in turns between tenants."""
        door = self._doors.get(target)
        servers = self._fleet.target(target)
        if door is None or not door.waiting_count:
            return
        now_ms = self._context.now_ms()
        self._drop_expired(door, now_ms)
        if servers is None:
            return
        for tenant_id in list(door.waiting):
            if not self._fits(door, servers, tenant_id):
                continue
            waiter = self._pop(door, tenant_id)
            waiter.outcome.fire(self._admit(door, target, tenant_id))

    def give_up(self, target: TargetName, waiter: WaitingForCapacity) -> Refusal:
        """Take a request out of the queue; a place that it was just given goes back."""
        door = self._doors[target]
        if waiter.outcome.is_fired:
            answer = waiter.outcome.value
            if isinstance(answer, Place):
                self.leave(answer)
            return Refusal(RefusalReason.OVERLOADED, self._retry_in_ms(door))
        queue = door.waiting[waiter.tenant_id]
        queue.remove(waiter)
        door.waiting_count -= 1
        if not queue:
            del door.waiting[waiter.tenant_id]
        return Refusal(RefusalReason.OVERLOADED, self._retry_in_ms(door))

    def waiting_count(self, target: TargetName) -> int:
        """Count the requests that wait for a target."""
        door = self._doors.get(target)
        return 0 if door is None else door.waiting_count

    def _capacity(self, servers: TargetServers) -> tuple[int, int]:
        """Count this instance's places: what the servers bear less what others have there.

        :returns: the places within the targets, and those within the servers' comfort.
        """
        now_ms = self._context.now_ms()
        within = comfortable = 0
        for view in servers.views:
            if not view.accepts_work:
                continue
            others = view.peer_requests_at(now_ms)
            within += max(0, view.online_limit - others)
            comfortable += max(0, view.comfort_limit - others)
        return within, comfortable

    def _fits(self, door: _TargetQueue, servers: TargetServers, tenant_id: TenantId) -> bool:
        """Tell whether a tenant's next request may go to a server.

        A short burst may fill the servers up to what their targets bear. Where requests have to
        be turned away anyway, going beyond the servers' comfort would only make every answer
        slower and fewer of them, so the places end there.
        """
        within, comfortable = self._capacity(servers)
        limit = comfortable if self._is_shedding(door) else within
        if door.inside >= limit:
            return False
        return not self._is_over_share(door, tenant_id, comfortable)

    def _is_shedding(self, door: _TargetQueue) -> bool:
        elapsed_ms = self._context.now_ms() - door.shed_at_ms
        level = door.shed_level * max(0.0, 1 - elapsed_ms / SHED_MEMORY_MS)
        return level > max(SHED_LEAST, SHED_SHARE * door.inside)

    def _record_shed(self, door: _TargetQueue) -> None:
        now_ms = self._context.now_ms()
        fading = max(0.0, 1 - (now_ms - door.shed_at_ms) / SHED_MEMORY_MS)
        door.shed_level = door.shed_level * fading + 1
        door.shed_at_ms = now_ms

    def _is_over_share(self, door: _TargetQueue, tenant_id: TenantId, comfortable: int) -> bool:
        """Hold a tenant to its share where places get scarce.

        Without this one tenant's flood takes every place and the others wait behind it, though
        they ask for no more than they always did.
        """
        if door.inside < comfortable * FAIR_FROM:
            return False
        tenants = set(door.inside_by_tenant)
        tenants.update(door.waiting)
        tenants.add(tenant_id)
        share = max(1.0, comfortable * FAIR_FROM / len(tenants))
        return len(tenants) > 1 and door.inside_by_tenant.get(tenant_id, 0) >= share

    def _admit(self, door: _TargetQueue, target: TargetName, tenant_id: TenantId) -> Place:
        door.inside += 1
        door.inside_by_tenant[tenant_id] = door.inside_by_tenant.get(tenant_id, 0) + 1
        return Place(target, tenant_id)

    def _queue(
        self, door: _TargetQueue, tenant_id: TenantId, target_ms: float, deadline_ms: float
    ) -> Refusal | WaitingForCapacity:
        now_ms = self._context.now_ms()
        if deadline_ms <= now_ms:
            return Refusal(RefusalReason.DEADLINE, self._retry_in_ms(door))
        wait_ms = min(target_ms * WAIT_SHARE, deadline_ms - now_ms)
        own_queue = door.waiting.get(tenant_id)
        ahead = len(own_queue) * len(door.waiting) if own_queue else len(door.waiting)
        if door.waiting_count >= self._waiting_limit or not self._can_meet_deadline(
            door, ahead, wait_ms
        ):
            self._record_shed(door)
            return Refusal(RefusalReason.OVERLOADED, self._retry_in_ms(door))
        waiter = WaitingForCapacity(tenant_id, now_ms + wait_ms, Signal())
        door.waiting.setdefault(tenant_id, deque()).append(waiter)
        door.waiting_count += 1
        return waiter

    def _can_meet_deadline(self, door: _TargetQueue, ahead: int, wait_ms: float) -> bool:
        """Tell whether a place is to be expected in time; if not, better to say so at once."""
        if door.leave_pace_per_ms <= 0.0:
            return ahead == 0
        return (ahead + 1) / door.leave_pace_per_ms <= wait_ms

    def _retry_in_ms(self, door: _TargetQueue) -> float:
        if door.leave_pace_per_ms <= 0.0:
            return SHORTEST_RETRY_MS * 10
        backlog_ms = (door.waiting_count + 1) / door.leave_pace_per_ms
        retry_ms = min(MAX_RETRY_MS, max(SHORTEST_RETRY_MS, backlog_ms))
        # Spread, so that those who were turned away together do not come back together.
        return retry_ms * (1 + self._context.random.random())

    def _pace(self, door: _TargetQueue) -> None:
        now_ms = self._context.now_ms()
        elapsed_ms = now_ms - door.paced_at_ms
        door.paced_at_ms = now_ms
        decay = max(0.0, 1 - elapsed_ms / PACE_WINDOW_MS)
        door.leave_pace_per_ms = door.leave_pace_per_ms * decay + 1 / PACE_WINDOW_MS

    def _drop_expired(self, door: _TargetQueue, now_ms: float) -> None:
        for tenant_id, queue in list(door.waiting.items()):
            while queue and queue[0].until_ms <= now_ms:
                late = self._pop(door, tenant_id)
                late.outcome.fire(Refusal(RefusalReason.OVERLOADED, self._retry_in_ms(door)))

    def _pop(self, door: _TargetQueue, tenant_id: TenantId) -> WaitingForCapacity:
        """Take a tenant's first waiter; the tenant goes to the end of the turns."""
        queue = door.waiting[tenant_id]
        waiter = queue.popleft()
        door.waiting_count -= 1
        if queue:
            door.waiting.move_to_end(tenant_id)
        else:
            del door.waiting[tenant_id]
        return waiter
