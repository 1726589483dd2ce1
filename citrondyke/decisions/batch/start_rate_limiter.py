"""How many items an owner starts before it hears what the others started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.batch_demand_table import BatchDemandTable
from citrondyke.decisions.forwarding.load_notices import TOTALS_EVERY_MS

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.ids import ServiceName

__all__ = ('StartRateLimiter',)

#: Shortest time in which peers hear of a start: a datagram's way and the look at it.
MIN_GAP_MS = 5.0
#: A datagram's way between two availability zones.
ONE_WAY_DELAY_MS = 1.0


class _Budget(msgspec.Struct):
    starts: float
    at_ms: float


class StartRateLimiter:
    """Shares the free places of a service between all who want them.

    Counts of neighbours are as old as the gap between notices, 1 ms for each of them, and those of
    other zones in a large fleet up to half a second. If every owner took each place that looks
    free, 69 instances filled the queues of 45 servers again and again: 31,606 of 41,114 sends were
    turned away and no item came to its end. Until an owner has heard who else has items waiting,
    it shares with all who may have.
    """

    def __init__(self, context: Context, topology: PeerTopology) -> None:
        """Start without a start taken."""
        self._context = context
        self._topology = topology
        #: Who has items waiting.
        self.demand = BatchDemandTable(context)
        self._budgets: dict[tuple[ServiceName, bool], _Budget] = {}

    @property
    def gap_ms(self) -> float:
        """Give the time after which what was started is known to all neighbours."""
        return max(MIN_GAP_MS, self._topology.notice_interval_ms + ONE_WAY_DELAY_MS)

    def try_start(self, service: ServiceName, free_count: int, *, is_remote: bool = False) -> bool:
        """Ask for one start.

        :param free_count: places that look free at the servers that come into question.
        :param is_remote: whether they are in other zones of a large fleet, shared with everybody.
        """
        now_ms = self._context.now_ms()
        share = self._share(service, free_count, is_remote=is_remote)
        # What looks free far away at first may only not have been told yet.
        first = 0.0 if is_remote else share
        budget = self._budgets.setdefault((service, is_remote), _Budget(first, now_ms))
        gap_ms = TOTALS_EVERY_MS if is_remote else self.gap_ms
        gaps = min(1.0, (now_ms - budget.at_ms) / gap_ms)
        budget.starts = min(max(1.0, share), budget.starts + gaps * share)
        budget.at_ms = now_ms
        if budget.starts >= 1.0:
            budget.starts -= 1.0
            return True
        # Parts of a start are played for rather than saved: saved ones would be spent by all at
        # the same moment, when places become free after a burst.
        chance, budget.starts = budget.starts, 0.0
        return self._context.random.random() < chance

    def _share(self, service: ServiceName, free_count: int, *, is_remote: bool) -> float:
        """Give the part of the free places that is this instance's.

        Owners in other zones are not heard of one by one: each zone is taken to have as many.
        """
        topology = self._topology
        if not self.demand.is_peer_demand_known(service):
            return free_count / (topology.instances_count if is_remote else topology.mesh_size)
        if is_remote:
            return self.demand.own_share_of_capacity(service, free_count / topology.zones_count)
        return self.demand.own_share_of_capacity(service, free_count)
