"""Items that wait for capacity on the backend servers of this instance."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

from citrondyke.decisions.core.signal import Signal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.jobs.batch_item import BatchItem
    from citrondyke.decisions.jobs.held_segment import HeldSegment
    from citrondyke.ids import TenantId

__all__ = ('PendingItems',)

#: Deadlines within the same interval of this length count as equal; tenants share them round-robin.
DEADLINE_GRAIN_MS = 60_000.0


class PendingItems:
    """Queue of a target's items: earliest deadline first, round-robin by tenant among equals."""

    def __init__(self) -> None:
        """Start empty."""
        #: Fires when capacity may have become free or an item was added.
        self.wake: Signal[None] = Signal()
        self._heap: list[tuple[float, int, int, HeldSegment, BatchItem]] = []
        self._number = 0
        self._rounds: dict[TenantId, int] = {}
        self._suspects: deque[tuple[HeldSegment, BatchItem]] = deque()

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._heap) + len(self._suspects)

    @property
    def has_suspects(self) -> bool:
        """Return whether items wait that must run in isolation."""
        return bool(self._suspects)

    def push(self, held: HeldSegment, items: Iterable[BatchItem]) -> None:
        """Add the items of a segment."""
        tenant_id = held.job.tenant_id
        deadline = held.job.deadline_epoch_ms // DEADLINE_GRAIN_MS
        first_round = min(self._rounds.values(), default=0) if self._heap else 0
        round_number = max(self._rounds.get(tenant_id, 0), first_round)
        for item in items:
            round_number += 1
            self._number += 1
            heapq.heappush(self._heap, (deadline, round_number, self._number, held, item))
        self._rounds[tenant_id] = round_number
        self.wake.fire(None)

    def requeue(self, held: HeldSegment, item: BatchItem) -> None:
        """Add an interrupted item again, ahead of items with the same deadline."""
        deadline = held.job.deadline_epoch_ms // DEADLINE_GRAIN_MS
        self._number += 1
        heapq.heappush(self._heap, (deadline, 0, self._number, held, item))
        self.wake.fire(None)

    def push_suspect(self, held: HeldSegment, item: BatchItem) -> None:
        """Add an item again that has one attempt left and must run in isolation."""
        self._suspects.append((held, item))
        self.wake.fire(None)

    def pop_suspect(self) -> tuple[HeldSegment, BatchItem] | None:
        """Remove and return the next item to run in isolation; skip items no longer needed."""
        while self._suspects:
            held, item = self._suspects.popleft()
            if _is_pending(held, item):
                return held, item
        return None

    def pop(
        self, may_run: Callable[[BatchItem], bool] | None = None
    ) -> tuple[HeldSegment, BatchItem] | None:
        """Remove and return the next item; skip items no longer needed.

        :param may_run: returns whether an item may run now; others stay in the queue.
        """
        left = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            _, _, _, held, item = entry
            if not _is_pending(held, item):
                continue
            if may_run is None or may_run(item):
                found = held, item
            else:
                left.append(entry)
        for entry in left:
            heapq.heappush(self._heap, entry)
        if not self._heap:
            self._rounds.clear()
        return found

    def next_wake(self) -> Signal[None]:
        """Return the signal of the next wake-up."""
        if self.wake.is_fired:
            self.wake = Signal()
        return self.wake


def _is_pending(held: HeldSegment, item: BatchItem) -> bool:
    if held.is_lost or held.is_releasing:
        return False
    return item.position in held.unfinished
