"""Clocks."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

__all__ = ('Clock', 'SystemClock')


class Clock(ABC):
    """Clock of decisions, which get it as an argument so that tests can replace it."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the monotonic time of this process, in milliseconds."""

    @abstractmethod
    def epoch_ms(self) -> float:
        """Return the wall clock time, in milliseconds since 1970."""

    def fence_ms(self) -> float:
        """Return a monotonic time that advances while the machine is suspended, in milliseconds.

        What another instance takes over after a timeout must have expired at this instance too,
        even if its machine was suspended meanwhile. ``now_ms`` does not advance during a suspend,
        so that by it the old owner would still be valid.
        """
        return self.now_ms()


class SystemClock(Clock):
    """Clocks of the operating system."""

    def now_ms(self) -> float:
        """Return the monotonic time, in milliseconds."""
        return time.monotonic() * 1e3

    def epoch_ms(self) -> float:
        """Return the wall clock time, in milliseconds since 1970."""
        return time.time() * 1e3

    def fence_ms(self) -> float:
        """Return a monotonic time that advances while the machine is suspended, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
