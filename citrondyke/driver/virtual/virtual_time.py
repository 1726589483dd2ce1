"""Time that passes only when there is nothing left to do at a moment."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from citrondyke.util.clock import Clock

__all__ = ('VirtualTime',)

#: What the wall clock shows at the start.
START_EPOCH_MS = 1_767_225_600_000.0


class VirtualTime(Clock):
    """A clock and its appointments, kept in order."""

    def __init__(self) -> None:
        """Start at 0."""
        self._now_ms = 0.0
        self._number = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def now_ms(self) -> float:
        """Give the virtual time."""
        return self._now_ms

    def epoch_ms(self) -> float:
        """Give the virtual wall clock's time."""
        return START_EPOCH_MS + self._now_ms

    def at(self, at_ms: float, act: Callable[[], None]) -> None:
        """Do something at a time; what is due at the same time is done in order of asking."""
        self._number += 1
        heapq.heappush(self._heap, (max(at_ms, self._now_ms), self._number, act))

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Do something after a while."""
        self.at(self._now_ms + delay_ms, act)

    def run_until(self, until_ms: float) -> None:
        """Let time pass."""
        heap = self._heap
        while heap and heap[0][0] <= until_ms:
            self._now_ms, _, act = heapq.heappop(heap)
            act()
        self._now_ms = until_ms

    def run_while(self, condition: Callable[[], bool], until_ms: float) -> bool:
        """Let time pass while a condition holds; tell whether it ended before the limit."""
        heap = self._heap
        while condition():
            if not heap or heap[0][0] > until_ms:
                return False
            self._now_ms, _, act = heapq.heappop(heap)
            act()
        return True
