"""Work that was rejected without a reservation and may be retried nevertheless."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('RejectedWork',)

#: Time for which rejected work is remembered. Callers retry within a third of their remaining time.
REJECTED_MEMORY_MS = 3_000.0
REMEMBERED_WORK_LIMIT = 4_000
#: If no new work was rejected for this time, there is capacity for retries.
OVERLOAD_MEMORY_MS = 300.0


class RejectedWork:
    """Detects retries without a reservation while new work is being rejected.

    Handles bursts in which every rejected caller retries: a retry has already missed its target,
    and would take the use of a caller that can still be served within its target.
    """

    def __init__(self) -> None:
        """Initialize without rejected work."""
        self._rejected_ms: dict[int, float] = {}
        self._overload_ms = float('-inf')

    def record(self, work_ids: Iterable[int], now_ms: float) -> None:
        """Record work that was rejected without a reservation."""
        for work in work_ids:
            self._rejected_ms.pop(work, None)
            if work:
                self._rejected_ms[work] = now_ms
        while self._rejected_ms:
            oldest = next(iter(self._rejected_ms))
            is_full = len(self._rejected_ms) > REMEMBERED_WORK_LIMIT
            if not is_full and self._rejected_ms[oldest] >= now_ms - REJECTED_MEMORY_MS:
                break
            del self._rejected_ms[oldest]

    def record_overload(self, now_ms: float) -> None:
        """Record that new work was rejected."""
        self._overload_ms = now_ms

    def should_reject_retry(self, work: int, now_ms: float) -> bool:
        """Return whether ``work`` is a retry that must yield to new work."""
        return now_ms <= self._overload_ms + OVERLOAD_MEMORY_MS and work in self._rejected_ms
