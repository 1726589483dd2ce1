"""Limit on one kind of reads, so that all instances together do not saturate the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context

__all__ = ('ReadBudget',)

#: Share of the store's read capacity that this kind of reads may use. After a power loss all state
#: is read again, and callers wait for the other kinds: the configuration, the server list, results.
READS_SHARE = 0.5
#: Size of the bucket, as the time in which it fills: a start may read this much at once.
BURST_MS = 1_000.0


class ReadBudget:
    """A token bucket that holds this instance's share of the fleet's reads.

    Handles a start of all instances while jobs are open: with hundreds of open jobs, hundreds of
    instances that each read every head would use the whole capacity of the store for several
    seconds.
    """

    def __init__(
        self, context: Context, reads_per_s: float, instances_count: Callable[[], int]
    ) -> None:
        """Start with a full bucket.

        :param reads_per_s: reads that the store serves for all instances together.
        :param instances_count: returns the number of instances, this one included.
        """
        self._context = context
        self._reads_per_s = reads_per_s
        self._instances_count = instances_count
        self._full_ms = float('-inf')

    def take(self) -> float:
        """Take one token and return how long to wait before the read, in ms."""
        now_ms = self._context.now_ms()
        gap_ms = self._instances_count() * 1e3 / (self._reads_per_s * READS_SHARE)
        # The reads taken are represented by the time at which the bucket is full again.
        self._full_ms = max(self._full_ms, now_ms - BURST_MS) + gap_ms
        return max(0.0, self._full_ms - now_ms)
