"""Detects that an instance gets more requests than its processor time allows."""

from __future__ import annotations

from collections import deque

import msgspec

__all__ = ('OverloadDetector',)

#: Lateness of the event loop above which callers notice it: half of a usual target for the first
#: event. It is over once the loop is late by no more than half of this.
LATE_MS = 150.0
#: Requests in progress from which on they are the cause of a late loop. With fewer the machine is
#: slow or busy with something else, and other instances may be no better.
BUSY_LIMIT = 64
#: Consecutive samples that show it: a single one is also late after the process has stood still.
SAMPLES_COUNT = 3


class _Sample(msgspec.Struct, frozen=True):
    late_ms: float
    busy_count: int


class OverloadDetector:
    """Judges by the lateness of the event loop and the requests in progress.

    Answers a load balancer that sends most new connections of a zone to one instance for some
    seconds. What the instance accepts beyond its processor time delays all requests that it has,
    until their callers give up; closed unread, a connection is tried at another instance.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES_COUNT)
        self.is_overloaded = False

    def record_sample(self, late_ms: float, busy_count: int) -> bool:
        """Record how late a timer of the event loop fired; return whether the verdict changed.

        :param busy_count: requests in progress at that time.
        """
        self._samples.append(_Sample(late_ms, busy_count))
        limit_ms = LATE_MS / 2.0 if self.is_overloaded else LATE_MS
        is_late = [
            sample.late_ms > limit_ms and sample.busy_count >= BUSY_LIMIT
            for sample in self._samples
        ]
        was_overloaded = self.is_overloaded
        if was_overloaded:
            self.is_overloaded = is_late[-1]
        else:
            self.is_overloaded = len(is_late) == SAMPLES_COUNT and all(is_late)
        return self.is_overloaded != was_overloaded
