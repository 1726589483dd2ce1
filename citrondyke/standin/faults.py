"""Faults that can be injected into the services of the platform stand-in."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('FaultMode', 'FaultSwitch')


class FaultMode(Enum):
    """Kind of fault of a service."""

    NONE = 'none'
    #: Rejects each call with 503, without any effect.
    DOWN = 'down'
    #: Accepts calls without any effect and never answers.
    HANG = 'hang'
    #: Delays each answer by ``delay_ms``.
    SLOW = 'slow'
    #: Carries out the call, then aborts the connection.
    LOST_REPLY = 'lost_reply'


class FaultSwitch(msgspec.Struct):
    """The current fault of one service."""

    mode: FaultMode = FaultMode.NONE
    delay_ms: float = 0.0
    #: Number of calls that still fail; negative for no limit.
    calls_left: int = -1

    def take(self) -> FaultMode:
        """Return the fault for the next call and count the call."""
        if self.mode is FaultMode.NONE or self.calls_left == 0:
            return FaultMode.NONE
        if self.calls_left > 0:
            self.calls_left -= 1
        return self.mode
