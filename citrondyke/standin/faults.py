"""The faults that a stand-in can be told to show."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('FaultMode', 'FaultSwitch')


class FaultMode(Enum):
    """How one service misbehaves."""

    NONE = 'none'
    #: Refuses every call with 503, before any effect.
    DOWN = 'down'
    #: Takes calls and answers none, without any effect.
    HANG = 'hang'
    #: Answers after ``delay_ms``.
    SLOW = 'slow'
    #: The write takes effect; then the connection is cut.
    LOST_REPLY = 'lost_reply'


class FaultSwitch(msgspec.Struct):
    """The fault in force for one service."""

    mode: FaultMode = FaultMode.NONE
    delay_ms: float = 0.0
    #: How many calls it still hits; negative is without end.
    calls_left: int = -1

    def take(self) -> FaultMode:
        """Use the fault up for one call."""
        if self.mode is FaultMode.NONE or self.calls_left == 0:
            return FaultMode.NONE
        if self.calls_left > 0:
            self.calls_left -= 1
        return self.mode
