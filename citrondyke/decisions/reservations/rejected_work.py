"""Work for which no place was kept, and that comes back all the same."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('RejectedWork',)

#: Callers come back within a third of the time that they have.
REJECTED_MEMORY_MS = 3_000.0
REMEMBERED_WORKS_LIMIT = 4_000
#: Without a refusal of new work for so long there is room for what comes back.
OVERLOAD_MEMORY_MS = 300.0


class RejectedWork:
    """Tells who comes back without a place while there is not enough for who comes first.

    Answers a flood of which each caller comes twice: whoever comes back is late by then, and takes
    the use of one who could still be served within its target.
    """

    def __init__(self) -> None:
        """Remember nothing yet."""
        self._rejected_ms: dict[int, float] = {}
        self._overload_ms = float('-inf')

    def record(self, works: Iterable[int], now_ms: float) -> None:
        """Take in what was turned away without a place."""
        for work in works:
            self._rejected_ms.pop(work, None)
            if work:
                self._rejected_ms[work] = now_ms
        while self._rejected_ms:
            oldest = next(iter(self._rejected_ms))
            is_full = len(self._rejected_ms) > REMEMBERED_WORKS_LIMIT
            if not is_full and self._rejected_ms[oldest] >= now_ms - REJECTED_MEMORY_MS:
                break
            del self._rejected_ms[oldest]

    def record_overload(self, now_ms: float) -> None:
        """Take in that new work was turned away."""
        self._overload_ms = now_ms

    def should_reject_retry(self, work: int, now_ms: float) -> bool:
        """Tell whether work comes back while new work is turned away."""
        return now_ms <= self._overload_ms + OVERLOAD_MEMORY_MS and work in self._rejected_ms
