"""How many items an owner starts before it hears what the others started."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.load_notices import notice_gap_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName

__all__ = ('StartPace',)

#: Shortest time in which peers hear of a start: a datagram's way and the look at it.
SHORTEST_GAP_MS = 5.0


class _Budget(msgspec.Struct):
    starts: float
    at_ms: float


class StartPace:
    """Shares the free places of a service between all who may want them.

    Counts of peers are as old as the gap between notices, 1 ms for each instance. If every owner
    took each place that looks free, 69 instances filled the queues of 45 servers again and again:
    31,606 of 41,114 sends were turned away and no item came to its end.
    """

    def __init__(self, context: Context, instances_count: Callable[[], int]) -> None:
        """Start without a start taken."""
        self._context = context
        self._instances_count = instances_count
        self._budgets: dict[ServiceName, _Budget] = {}

    @property
    def gap_ms(self) -> float:
        """Give the time after which what was started is known everywhere."""
        return max(SHORTEST_GAP_MS, notice_gap_ms(self._instances_count()))

    def take(self, service: ServiceName, free_count: int) -> bool:
        """Ask for one start.

        :param free_count: places that look free at all servers of the service.
        """
        now_ms = self._context.now_ms()
        share = free_count / max(1, self._instances_count())
        budget = self._budgets.setdefault(service, _Budget(share, now_ms))
        gaps = min(1.0, (now_ms - budget.at_ms) / self.gap_ms)
        budget.starts = min(max(1.0, share), budget.starts + gaps * share)
        budget.at_ms = now_ms
        if budget.starts >= 1.0:
            budget.starts -= 1.0
            return True
        # Parts of a start are played for rather than saved: saved ones would be spent by all at
        # the same moment, when places become free after a burst.
        chance, budget.starts = budget.starts, 0.0
        return self._context.random.random() < chance
