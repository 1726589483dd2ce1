"""Where the time comes from."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

__all__ = ('Clock', 'SystemClock')


class Clock(ABC):
    """The two times that decisions use; handed in, never fetched."""

    @abstractmethod
    def now_ms(self) -> float:
        """Give the monotonic time of this process, in milliseconds."""

    @abstractmethod
    def epoch_ms(self) -> float:
        """Give the wall clock's time, in milliseconds since 1970."""

    def fence_ms(self) -> float:
        """Give a monotonic time that goes on while the machine is suspended, in milliseconds.

        What another instance takes over after a while must be over here too, also for a machine
        that was suspended meanwhile; by the steady clock it would go on where it was.
        """
        return self.now_ms()


class SystemClock(Clock):
    """The machine's clocks."""

    def now_ms(self) -> float:
        """Give the monotonic time, in milliseconds."""
        return time.monotonic() * 1e3

    def epoch_ms(self) -> float:
        """Give the wall clock's time, in milliseconds since 1970."""
        return time.time() * 1e3

    def fence_ms(self) -> float:
        """Give a monotonic time that goes on while the machine is suspended, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
