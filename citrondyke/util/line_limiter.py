"""Bounds the log lines of one kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('LineLimiter',)


class LineLimiter:
    """Admits a number of lines in each second, and counts the others."""

    def __init__(self, clock: Clock, lines_per_s: int) -> None:
        """Start without any line."""
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._second = 0
        self._admitted_count = 0
        self._omitted_count = 0

    def admit(self) -> int | None:
        """Return how many lines were omitted before this one; ``None`` to omit this one too."""
        second = int(self._clock.now_ms() // 1e3)
        if second != self._second:
            self._second = second
            self._admitted_count = 0
        if self._admitted_count >= self._lines_per_s:
            self._omitted_count += 1
            return None
        self._admitted_count += 1
        omitted_count, self._omitted_count = self._omitted_count, 0
        return omitted_count
