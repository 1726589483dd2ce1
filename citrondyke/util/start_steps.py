"""Times of the steps of a process start."""

from __future__ import annotations

import time

from citrondyke.util.process_start import PROCESS_START_MS

__all__ = ('StartSteps',)


class StartSteps:
    """Records when each step was completed, in ms since the first line of the program."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.done_ms: dict[str, float] = {}

    def record(self, step: str) -> None:
        """Record that a step is completed."""
        now_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
        self.done_ms[step] = round(now_ms - PROCESS_START_MS, 1)
