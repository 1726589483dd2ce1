"""Places that callers were told, kept until they come back."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

import msgspec

__all__ = ('RESERVATION_HOLD_MS', 'ReservationCounts', 'Reservations')

#: A place is kept for so long after its time: a caller needs a new connection and the way to an
#: instance, and timers fire late on a machine that is busy.
RESERVATION_HOLD_MS = 400.0
#: Places kept in one line; beyond it nobody is told a time.
RESERVATIONS_LIMIT = 2_000


class ReservationCounts(msgspec.Struct):
    """What became of places since the line began."""

    kept: int = 0
    taken: int = 0
    lapsed: int = 0


class Reservations:
    """One line of places, each the next caller's of one key.

    Answers callers that were all told to come back soon, met the same crowd again and were refused
    for good: a place that is kept is not given to whoever else asks meanwhile. A place that nobody
    takes lapses, so that what it kept free goes to the next one that asks.
    """

    def __init__(self) -> None:
        """Keep nothing yet."""
        #: Times of the places that are kept, and the key of each, in order of time.
        self._due_ms: list[float] = []
        self._keys: list[int] = []
        self._due_times_by_key: dict[int, deque[float]] = {}
        self._last_due_ms = float('-inf')
        self.counts = ReservationCounts()

    def __len__(self) -> int:
        """Count the places that are kept."""
        return len(self._due_ms)

    def next_due_ms(self, earliest_ms: float, gap_ms: float) -> float:
        """Give the time of the next place, one gap behind the last one that was kept."""
        return max(earliest_ms, self._last_due_ms + gap_ms)

    def reserve(self, key: int, due_ms: float) -> bool:
        """Keep a place at the end of the line; tell whether there was room for it."""
        if len(self._due_ms) >= RESERVATIONS_LIMIT:
            return False
        # Times of one line only grow, so that places by key and by time have one order.
        due_ms = max(due_ms, self._last_due_ms)
        self._due_ms.append(due_ms)
        self._keys.append(key)
        self._due_times_by_key.setdefault(key, deque()).append(due_ms)
        self._last_due_ms = due_ms
        self.counts.kept += 1
        return True

    def due_ms_of(self, key: int) -> float | None:
        """Give the time of a key's first place; ``None`` without one."""
        due_times_ms = self._due_times_by_key.get(key)
        return due_times_ms[0] if due_times_ms else None

    def consume(self, key: int) -> None:
        """Use a key's first place up; it serves once."""
        due_ms = self._due_times_by_key[key].popleft()
        if not self._due_times_by_key[key]:
            del self._due_times_by_key[key]
        index = bisect_right(self._due_ms, due_ms) - 1
        while self._keys[index] != key:
            index -= 1
        del self._due_ms[index], self._keys[index]
        self.counts.taken += 1

    def count_due(self, at_ms: float) -> int:
        """Count the places whose time has come by a moment."""
        return bisect_right(self._due_ms, at_ms)

    def keys_due_by(self, at_ms: float) -> list[int]:
        """List the keys that are expected by a moment."""
        return self._keys[: bisect_right(self._due_ms, at_ms)]

    def expire(self, now_ms: float) -> int:
        """Drop places that nobody took in time; give how many."""
        count = bisect_right(self._due_ms, now_ms - RESERVATION_HOLD_MS)
        for key in self._keys[:count]:
            due_times_ms = self._due_times_by_key[key]
            due_times_ms.popleft()
            if not due_times_ms:
                del self._due_times_by_key[key]
        del self._due_ms[:count], self._keys[:count]
        self.counts.lapsed += count
        return count
