"""The clock by which all instances judge the deadlines of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.store_clock import StoreClock

__all__ = ('JobClock',)

#: Instances know the store's clock late by a call at most. A job that was accepted longer than this
#: after the present was stamped before the store's clock began anew.
STORE_CLOCK_LAG_MS = 5_000.0


class JobClock:
    """Tells the time on the wall clock of a job's acceptance, as if that had run on steadily.

    The deadlines in a job's head are times of day, written by one instance and read by others, and
    the time of day of a machine may step. So the time since the acceptance is measured by the clock
    of the store, which all instances share.
    """

    def __init__(self, context: Context, store_clock: StoreClock) -> None:
        """Use the clocks handed in."""
        self._context = context
        self._store_clock = store_clock

    @property
    def stamp_ms(self) -> float | msgspec.UnsetType:
        """Return the present time of the store, for the head of a job; unset if not known."""
        store_ms = self._store_clock.now_ms
        return msgspec.UNSET if store_ms is None else store_ms

    def epoch_ms(self, head: JobHead) -> float:
        """Return the present time in the terms of a job's deadlines.

        It is this machine's time of day if the head or this instance lacks the store's time.
        """
        store_ms = self._store_clock.now_ms
        if head.accepted_store_ms is msgspec.UNSET or store_ms is None:
            return self._context.epoch_ms()
        elapsed_ms = store_ms - head.accepted_store_ms
        if elapsed_ms < -STORE_CLOCK_LAG_MS:
            return self._context.epoch_ms()
        return head.accepted_epoch_ms + elapsed_ms
