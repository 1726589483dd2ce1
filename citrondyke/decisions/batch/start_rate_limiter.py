"""Limit on the items that an owner starts before it learns of the starts of its peers."""

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

#: Shortest time in which peers learn of a start: transfer and processing of a datagram.
MIN_GAP_MS = 5.0
#: Transfer time of a datagram between two availability zones.
ONE_WAY_DELAY_MS = 1.0


class _Budget(msgspec.Struct):
    starts: float
    at_ms: float


class StartRateLimiter:
    """Divides the free capacity of a service among the owners of waiting items.

    Handles a wave of items at many owners whose load counts are stale: counts of local peers are as
    old as the interval between notices, 1 ms for each peer, and those of remote zones in a large
    fleet up to half a second. When every owner used all capacity that looked free, 69 instances
    repeatedly filled the queues of 45 servers: 31,606 of 41,114 sends were rejected and no item
    finished. Until an owner knows the demand of its peers, it assumes that all of them have items.
    """

    def __init__(self, context: Context, topology: PeerTopology) -> None:
        """Start with empty budgets."""
        self._context = context
        self._topology = topology
        #: Demand by instance.
        self.demand = BatchDemandTable(context)
        self._budgets: dict[tuple[ServiceName, bool], _Budget] = {}

    @property
    def gap_ms(self) -> float:
        """Return the time after which all local peers know of a start."""
        return max(MIN_GAP_MS, self._topology.notice_interval_ms + ONE_WAY_DELAY_MS)

    def try_start(self, service: ServiceName, free_count: int, *, is_remote: bool = False) -> bool:
        """Take one start from the budget if it allows it.

        :param free_count: capacity that looks free on the candidate servers.
        :param is_remote: whether these are in remote zones of a large fleet, where instances of
            all zones use them.
        """
        now_ms = self._context.now_ms()
        share = self._share(service, free_count, is_remote=is_remote)
        # Remote capacity that looks free at first may be in use by requests not yet published.
        first = 0.0 if is_remote else share
        budget = self._budgets.setdefault((service, is_remote), _Budget(first, now_ms))
        gap_ms = TOTALS_EVERY_MS if is_remote else self.gap_ms
        gaps = min(1.0, (now_ms - budget.at_ms) / gap_ms)
        budget.starts = min(max(1.0, share), budget.starts + gaps * share)
        budget.at_ms = now_ms
        if budget.starts >= 1.0:
            budget.starts -= 1.0
            return True
        # A fraction of a start is granted with that probability instead of being saved: all owners
        # would spend saved fractions at the same moment, when capacity becomes free after a burst.
        chance, budget.starts = budget.starts, 0.0
        return self._context.random.random() < chance

    def _share(self, service: ServiceName, free_count: int, *, is_remote: bool) -> float:
        """Return this instance's share of the free capacity.

        The demand of single owners in remote zones is not known: each zone is assumed to have as
        much as the local one.
        """
        topology = self._topology
        if not self.demand.is_peer_demand_known(service):
            return free_count / (topology.instances_count if is_remote else topology.mesh_size)
        if is_remote:
            return self.demand.own_share_of_capacity(service, free_count / topology.zones_count)
        return self.demand.own_share_of_capacity(service, free_count)
