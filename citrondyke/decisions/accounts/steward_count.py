"""What a steward tells of an account."""

from __future__ import annotations

import msgspec

__all__ = ('StewardCount',)


class StewardCount(msgspec.Struct, frozen=True):
    """What the steward of an account has counted."""

    #: In the last window.
    uses: int
    refused: int
    #: Places that are kept now, and what became of others since it is the steward.
    places_kept: int = 0
    places_taken: int = 0
    places_lapsed: int = 0
