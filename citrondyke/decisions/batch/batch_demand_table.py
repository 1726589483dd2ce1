"""Batch demand of all instances, and this instance's share of the free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood, DemandNotice

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, ServiceName

__all__ = ('BatchDemandTable',)

#: Interval at which unchanged demand is published again, since datagrams can be lost.
RENEW_MS = 250.0
#: Demand expires when two renewals have been missed. For this long a dead owner's demand withholds
#: capacity from other owners.
EXPIRY_MS = 600.0
#: Shortest time between two notices; demand changes with each start of an item.
PUBLISH_EVERY_MS = 100.0
#: Items whose latest starts lie within this time of each other are equally urgent: capacity becomes
#: free every few tens of ms, and items run for seconds.
EQUAL_URGENCY_MS = 500.0


class _PeerDemand(msgspec.Struct, frozen=True):
    demands: dict[ServiceName, BatchDemand]
    until_ms: float


class BatchDemandTable:
    """Assigns free capacity to the owners of the most urgent items.

    Handles a wave of jobs that exceeds what the servers can finish in time. With equal shares,
    owners whose items are already late would take as much capacity as those whose items can still
    finish in time, and all items would become late although half of them could have been in time.
    """

    def __init__(self, context: Context) -> None:
        """Start without demand."""
        self._context = context
        self._peers: dict[InstanceId, _PeerDemand] = {}
        self._own: dict[ServiceName, BatchDemand] = {}
        self._own_since_ms: dict[ServiceName, float] = {}
        self._published: list[BatchDemand] = []
        self._published_ms = float('-inf')

    def record_own_demand(self, demands: list[BatchDemand]) -> None:
        """Replace this instance's demand; services without waiting items are left out."""
        now_ms = self._context.now_ms()
        self._own = {demand.service: demand for demand in demands}
        self._own_since_ms = {
            service: self._own_since_ms.get(service, now_ms) for service in self._own
        }

    def record_peer_demand(self, peer: InstanceId, notices: list[DemandNotice]) -> None:
        """Replace a peer's demand."""
        if not notices:
            self._peers.pop(peer, None)
            return
        now_ms = self._context.now_ms()
        demands = {
            demand.service: BatchDemand(
                demand.service,
                CompletionLikelihood(demand.likelihood),
                demand.waiting_count,
                now_ms + demand.start_in_ms,
            )
            for demand in notices
        }
        self._peers[peer] = _PeerDemand(demands, now_ms + EXPIRY_MS)

    def take_due_notices(self) -> list[DemandNotice] | None:
        """Return the notices to publish now; ``None`` if no message is due.

        An empty list states that no items wait any more.
        """
        now_ms = self._context.now_ms()
        own = sorted(self._own.values(), key=lambda demand: demand.service)
        if now_ms - self._published_ms < PUBLISH_EVERY_MS:
            return None
        is_changed = [_coarse(demand) for demand in own] != [
            _coarse(demand) for demand in self._published
        ]
        if not is_changed and (not own or now_ms - self._published_ms < RENEW_MS):
            return None
        self._published, self._published_ms = own, now_ms
        return [
            DemandNotice(
                demand.service, demand.likelihood, demand.waiting_count, demand.start_by_ms - now_ms
            )
            for demand in own
        ]

    def is_peer_demand_known(self, service: ServiceName) -> bool:
        """Return whether peers with waiting items have had time to publish their demand."""
        since_ms = self._own_since_ms.get(service)
        return since_ms is not None and self._context.now_ms() - since_ms >= RENEW_MS

    def peer_demand(self, service: ServiceName) -> list[BatchDemand]:
        """List the unexpired demand of peers for a service."""
        now_ms = self._context.now_ms()
        for peer in [each for each, entry in self._peers.items() if entry.until_ms <= now_ms]:
            del self._peers[peer]
        return [
            entry.demands[service] for entry in self._peers.values() if service in entry.demands
        ]

    def own_share_of_capacity(self, service: ServiceName, free_count: float) -> float:
        """Return how much of some free capacity this instance may use.

        Owners with a better completion likelihood come first, and among them those with the
        earliest latest start. Equally urgent owners share in proportion to their waiting items.
        """
        own = self._own.get(service)
        if own is None:
            return 0.0
        left = free_count
        peer_demand = self.peer_demand(service)
        before = sum(demand.waiting_count for demand in peer_demand if _order(demand) < _order(own))
        left -= before
        if left <= 0:
            return 0.0
        equal = sum(demand.waiting_count for demand in peer_demand if _order(demand) == _order(own))
        part = left * own.waiting_count / max(1, equal + own.waiting_count)
        return min(float(own.waiting_count), part)


def _order(demand: BatchDemand) -> tuple[int, int]:
    if demand.likelihood is not CompletionLikelihood.DOABLE:
        return demand.likelihood, 0
    return demand.likelihood, int(demand.start_by_ms // EQUAL_URGENCY_MS)


def _coarse(demand: BatchDemand) -> tuple[ServiceName, CompletionLikelihood, int]:
    """Reduce demand to what changes the shares noticeably."""
    return demand.service, demand.likelihood, demand.waiting_count.bit_length()
