"""Counts of an account at its steward."""

from __future__ import annotations

import msgspec

__all__ = ('StewardCount',)


class StewardCount(msgspec.Struct, frozen=True):
    """Counts of an account since its steward acquired the lease."""

    #: Uses and rejected requests in the last window.
    uses: int
    refused: int
    #: Current reservations, and those used and expired during the lease.
    places_kept: int = 0
    places_taken: int = 0
    places_lapsed: int = 0
