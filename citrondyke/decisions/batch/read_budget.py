"""How many reads of one kind an instance makes, so that all together leave the store room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context

__all__ = ('ReadBudget',)

#: Part of the store's reads that this kind may take. After a loss of all power everything is read
#: anew, and callers wait for the rest: the configuration, the servers, their results.
READS_SHARE = 0.5
#: What is saved up while nothing is read, as time: a start reads so much at once.
BURST_MS = 1_000.0


class ReadBudget:
    """A token bucket with this instance's part of the fleet's.

    Answers a start of all instances in a wave of jobs: with hundreds of open jobs, hundreds of
    instances that read each head would ask for several seconds of all that the store takes.
    """

    def __init__(
        self, context: Context, reads_per_s: float, instances_count: Callable[[], int]
    ) -> None:
        """Start full.

        :param reads_per_s: that the store takes from all instances together.
        :param instances_count: counts them, this one included.
        """
        self._context = context
        self._reads_per_s = reads_per_s
        self._instances_count = instances_count
        self._full_ms = float('-inf')

    def take(self) -> float:
        """Take one read; give how long to wait before it, in ms."""
        now_ms = self._context.now_ms()
        gap_ms = self._instances_count() * 1e3 / (self._reads_per_s * READS_SHARE)
        # Reads are owed from the moment on at which the bucket would be full again.
        self._full_ms = max(self._full_ms, now_ms - BURST_MS) + gap_ms
        return max(0.0, self._full_ms - now_ms)
