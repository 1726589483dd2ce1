"""Reservations for callers that were sent a retry time."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque

import msgspec

__all__ = ('RESERVATION_HOLD_MS', 'ReservationCounts', 'Reservations')

#: Time for which a reservation is held after it falls due: a caller needs a new connection and a
#: round trip to an instance, and timers fire late on a busy machine.
RESERVATION_HOLD_MS = 400.0
#: Number of reservations in one queue; above it no further ones are made.
RESERVATIONS_LIMIT = 2_000


class ReservationCounts(msgspec.Struct):
    """Reservations made, used and expired since the queue was created."""

    kept: int = 0
    taken: int = 0
    lapsed: int = 0


class Reservations:
    """A queue of reservations, each for the next caller with a given key.

    Handles bursts in which rejected callers retry at about the same time, are rejected again and
    give up: a reserved use isn't granted to other callers meanwhile. A reservation that isn't used
    expires, and its use goes to the next request.
    """

    def __init__(self) -> None:
        """Initialize an empty queue."""
        #: Due times of the reservations in ascending order, and the key of each.
        self._due_ms: list[float] = []
        self._keys: list[int] = []
        self._due_times_by_key: dict[int, deque[float]] = {}
        self._last_due_ms = float('-inf')
        self.counts = ReservationCounts()

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._due_ms)

    def next_due_ms(self, earliest_ms: float, gap_ms: float) -> float:
        """Return the due time of the next reservation, one gap after the last one."""
        return max(earliest_ms, self._last_due_ms + gap_ms)

    def reserve(self, key: int, due_ms: float) -> bool:
        """Append a reservation; return false if the queue is full."""
        if len(self._due_ms) >= RESERVATIONS_LIMIT:
            return False
        # Due times never decrease, so reservations have the same order by key and by time.
        due_ms = max(due_ms, self._last_due_ms)
        self._due_ms.append(due_ms)
        self._keys.append(key)
        self._due_times_by_key.setdefault(key, deque()).append(due_ms)
        self._last_due_ms = due_ms
        self.counts.kept += 1
        return True

    def due_ms_of(self, key: int) -> float | None:
        """Return the due time of a key's first reservation; ``None`` if there is none."""
        due_times_ms = self._due_times_by_key.get(key)
        return due_times_ms[0] if due_times_ms else None

    def consume(self, key: int) -> None:
        """Remove a key's first reservation, which is valid for one use."""
        due_ms = self._due_times_by_key[key].popleft()
        if not self._due_times_by_key[key]:
            del self._due_times_by_key[key]
        index = bisect_right(self._due_ms, due_ms) - 1
        while self._keys[index] != key:
            index -= 1
        del self._due_ms[index], self._keys[index]
        self.counts.taken += 1

    def count_due(self, at_ms: float) -> int:
        """Return the number of reservations that fall due by ``at_ms``."""
        return bisect_right(self._due_ms, at_ms)

    def keys_due_by(self, at_ms: float) -> list[int]:
        """Return the keys of the reservations that fall due by ``at_ms``."""
        return self._keys[: bisect_right(self._due_ms, at_ms)]

    def expire(self, now_ms: float) -> int:
        """Drop the reservations that weren't used in time; return their number."""
        count = bisect_right(self._due_ms, now_ms - RESERVATION_HOLD_MS)
        for key in self._keys[:count]:
            due_times_ms = self._due_times_by_key[key]
            due_times_ms.popleft()
            if not due_times_ms:
                del self._due_times_by_key[key]
        del self._due_ms[:count], self._keys[:count]
        self.counts.lapsed += count
        return count
