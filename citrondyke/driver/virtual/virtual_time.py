"""A clock for simulations, which jumps from one scheduled callback to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from citrondyke.util.clock import Clock

__all__ = ('VirtualTime',)

#: Wall-clock time at the start of a simulation.
START_EPOCH_MS = 1_767_225_600_000.0


class VirtualTime(Clock):
    """A clock with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        """Create a clock that starts at 0 ms."""
        self._now_ms = 0.0
        self._number = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return self._now_ms

    def epoch_ms(self) -> float:
        """Return the time of the virtual wall clock in ms since the epoch."""
        return START_EPOCH_MS + self._now_ms

    def at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; callbacks due at the same time run in order of scheduling."""
        self._number += 1
        heapq.heappush(self._heap, (max(at_ms, self._now_ms), self._number, callback))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.at(self._now_ms + delay_ms, callback)

    def run_until(self, until_ms: float) -> None:
        """Run the callbacks due until a time and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until_ms:
            self._now_ms, _, callback = heapq.heappop(heap)
            callback()
        self._now_ms = until_ms

    def run_while(self, condition: Callable[[], bool], until_ms: float) -> bool:
        """Run callbacks while a condition holds; return whether it ended before the limit."""
        heap = self._heap
        while condition():
            if not heap or heap[0][0] > until_ms:
                return False
            self._now_ms, _, callback = heapq.heappop(heap)
            callback()
        return True
