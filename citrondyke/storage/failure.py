"""Failures of calls to the platform, as sentinel values with a reason."""

from __future__ import annotations

from enum import Enum

import msgspec

__all__ = ('PlatformFailure', 'PlatformFailureReason')


class PlatformFailureReason(Enum):
    """Why a call failed and whether it may have had an effect."""

    #: The call was rejected or never reached the platform; it had no effect.
    UNAVAILABLE = 'unavailable'
    #: The call was aborted or timed out; it may have taken effect or may still do so.
    AMBIGUOUS = 'ambiguous'
    #: The object does not exist.
    MISSING = 'missing'
    #: The requested history is no longer stored.
    HISTORY_LOST = 'history_lost'
    #: The store has no free capacity.
    FULL = 'full'
    #: The data cannot be decoded.
    UNREADABLE = 'unreadable'


class PlatformFailure(msgspec.Struct, frozen=True):
    """Returned instead of a result."""

    reason: PlatformFailureReason

    def __bool__(self) -> bool:
        """Return ``False``, so that a failure is falsy."""
        return False


UNAVAILABLE = PlatformFailure(PlatformFailureReason.UNAVAILABLE)
AMBIGUOUS = PlatformFailure(PlatformFailureReason.AMBIGUOUS)
MISSING = PlatformFailure(PlatformFailureReason.MISSING)
HISTORY_LOST = PlatformFailure(PlatformFailureReason.HISTORY_LOST)
FULL = PlatformFailure(PlatformFailureReason.FULL)
UNREADABLE = PlatformFailure(PlatformFailureReason.UNREADABLE)
