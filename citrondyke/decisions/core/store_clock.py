"""The clock of the store, as one instance knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('StoreClock',)


class StoreClock:
    """Follows the store's clock by its responses.

    The time of day of a machine may be wrong by hours. What one instance stores with a time and
    another one reads after a loss of all needs a clock that both share.
    """

    def __init__(self, context: Context) -> None:
        """Start without a response."""
        self._context = context
        self._offset_ms: float | None = None

    def observe(self, store_ms: float | None) -> None:
        """Apply the time that a response states; ``None`` if it states none."""
        if store_ms is not None:
            self._offset_ms = store_ms - self._context.clock.fence_ms()

    @property
    def now_ms(self) -> float | None:
        """Return the store's time, late by the way of its last response; ``None`` without one."""
        if self._offset_ms is None:
            return None
        return self._context.clock.fence_ms() + self._offset_ms
