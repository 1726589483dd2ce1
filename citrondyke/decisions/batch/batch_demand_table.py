"""Who else has batch items waiting, and which part of the free places is one's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood, DemandNotice

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, ServiceName

__all__ = ('BatchDemandTable',)

#: A need is told again so often while items wait, since datagrams get lost ...
RENEW_MS = 250.0
#: ... and lapses after two of them: an owner that is gone keeps places from the others so long.
EXPIRY_MS = 600.0
#: Shortest time between two tellings of needs that change with each start.
PUBLISH_EVERY_MS = 100.0
#: Items that must start within this time of each other are equally urgent: places change hands
#: every tens of ms, and items run for seconds.
EQUAL_URGENCY_MS = 500.0


class _PeerDemand(msgspec.Struct, frozen=True):
    demands: dict[ServiceName, BatchDemand]
    until_ms: float


class BatchDemandTable:
    """Deals free places to those who have the most urgent items.

    Answers a wave of jobs that is more than the places can do in time. With equal parts for all,
    owners whose items are late already take as many places as those whose items can still be done,
    and items become late one and all although half of them could have been in time.
    """

    def __init__(self, context: Context) -> None:
        """Start without a need."""
        self._context = context
        self._peers: dict[InstanceId, _PeerDemand] = {}
        self._own: dict[ServiceName, BatchDemand] = {}
        self._own_since_ms: dict[ServiceName, float] = {}
        self._published: list[BatchDemand] = []
        self._published_ms = float('-inf')

    def record_own_demand(self, demands: list[BatchDemand]) -> None:
        """Take in what waits at this instance; services without waiting items are left out."""
        now_ms = self._context.now_ms()
        self._own = {demand.service: demand for demand in demands}
        self._own_since_ms = {
            service: self._own_since_ms.get(service, now_ms) for service in self._own
        }

    def record_peer_demand(self, peer: InstanceId, notices: list[DemandNotice]) -> None:
        """Take in what waits at a peer."""
        if not notices:
            self._peers.pop(peer, None)
            return
        now_ms = self._context.now_ms()
        demands = {
            demand.service: BatchDemand(
                demand.service,
                CompletionLikelihood(demand.prospect),
                demand.waiting_count,
                now_ms + demand.start_in_ms,
            )
            for demand in notices
        }
        self._peers[peer] = _PeerDemand(demands, now_ms + EXPIRY_MS)

    def take_due_notices(self) -> list[DemandNotice] | None:
        """Give the needs that peers are to be told now; ``None`` for no message.

        An empty list says that nothing waits any more.
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
                demand.service, demand.prospect, demand.waiting_count, demand.start_by_ms - now_ms
            )
            for demand in own
        ]

    def is_peer_demand_known(self, service: ServiceName) -> bool:
        """Tell whether others who have items waiting have had the time to say so."""
        since_ms = self._own_since_ms.get(service)
        return since_ms is not None and self._context.now_ms() - since_ms >= RENEW_MS

    def peer_demand(self, service: ServiceName) -> list[BatchDemand]:
        """List the needs of peers."""
        now_ms = self._context.now_ms()
        for peer in [each for each, entry in self._peers.items() if entry.until_ms <= now_ms]:
            del self._peers[peer]
        return [
            entry.demands[service] for entry in self._peers.values() if service in entry.demands
        ]

    def own_share_of_capacity(self, service: ServiceName, free_count: float) -> float:
        """Give this instance's part of some free places, as places.

        Those whose items stand better come first, and among them those who must start first; who
        is equal shares by what waits.
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
    if demand.prospect is not CompletionLikelihood.DOABLE:
        return demand.prospect, 0
    return demand.prospect, int(demand.start_by_ms // EQUAL_URGENCY_MS)


def _coarse(demand: BatchDemand) -> tuple[ServiceName, CompletionLikelihood, int]:
    """Leave out what changes nobody's part by much."""
    return demand.service, demand.prospect, demand.waiting_count.bit_length()
