"""Lets other greenlets run while one has more input than it can process at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('TimeSlice',)

#: Time for which a greenlet may run while its input is always ready.
SLICE_MS = 5.0
#: An operation that took this long has waited, so that other greenlets have run meanwhile.
WAITED_MS = 1.0
#: A pause of zero would resume before the event loop polls other connections.
PAUSE_S = 0.001


class TimeSlice:
    """Processor time that one greenlet uses in a row.

    gevent switches only where a greenlet waits. A socket whose peer sends faster than its bytes are
    processed never waits, and everything else in the process would stand still.
    """

    def __init__(self, clock: Clock) -> None:
        """Start a slice."""
        self._clock = clock
        self._started_ms = clock.now_ms()

    def start(self) -> None:
        """Start a new slice, since the greenlet has just been resumed."""
        self._started_ms = self._clock.now_ms()

    def record_read(self, asked_ms: float, received_ms: float) -> None:
        """Record a read; one that has waited starts a new slice."""
        if received_ms - asked_ms >= WAITED_MS:
            self._started_ms = received_ms

    def pause_if_over(self) -> None:
        """Let other greenlets run if the slice is used up."""
        if self._clock.now_ms() - self._started_ms >= SLICE_MS:
            gevent.sleep(PAUSE_S)
            self.start()
