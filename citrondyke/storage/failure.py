"""How a call of the platform fails, as a sentinel value with its reason."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('PlatformFailure', 'PlatformFailureReason')


class PlatformFailureReason(Enum):
    """What is known of the call."""

    #: Refused, or never reached the platform: it had no effect.
    UNAVAILABLE = 'unavailable'
    #: Cut or timed out: it may have taken effect, or still may.
    AMBIGUOUS = 'ambiguous'
    #: The object is not there.
    MISSING = 'missing'
    #: The history that was asked for is not kept any more.
    HISTORY_LOST = 'history_lost'
    #: The store takes nothing more.
    FULL = 'full'
    #: What is there cannot be read.
    UNREADABLE = 'unreadable'


class PlatformFailure(msgspec.Struct, frozen=True):
    """Stands in the place of a result."""

    reason: PlatformFailureReason

    def __bool__(self) -> bool:
        """Count as no result."""
        return False


UNAVAILABLE = PlatformFailure(PlatformFailureReason.UNAVAILABLE)
AMBIGUOUS = PlatformFailure(PlatformFailureReason.AMBIGUOUS)
MISSING = PlatformFailure(PlatformFailureReason.MISSING)
HISTORY_LOST = PlatformFailure(PlatformFailureReason.HISTORY_LOST)
FULL = PlatformFailure(PlatformFailureReason.FULL)
UNREADABLE = PlatformFailure(PlatformFailureReason.UNREADABLE)
