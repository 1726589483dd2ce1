"""Times of the steps of a process's start."""

from __future__ import annotations

import time

from citrondyke.util.process_start import PROCESS_START_MS

__all__ = ('StartSteps',)


class StartSteps:
    """Keeps when each step was done, in ms from the first line of the program."""

    def __init__(self) -> None:
        """Start with none."""
        self.done_ms: dict[str, float] = {}

    def record(self, step: str) -> None:
        """Note that a step is done."""
        now_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
        self.done_ms[step] = round(now_ms - PROCESS_START_MS, 1)
