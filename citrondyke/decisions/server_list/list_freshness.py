"""Whether the local server list is too old to rely on its reads alone."""

from __future__ import annotations

__all__ = ('STALE_AFTER_MS', 'ListFreshness')

#: Age from which the list is stale in a small fleet: one poll and its retry were missed. A server
#: that leaves may get requests for 2 s, so that a peer is asked before these are over.
STALE_AFTER_MS = 1_600.0


class ListFreshness:
    """Track whether the list is stale.

    A stale list is still used, and the instance stays ready: most of its servers still serve, and
    if all instances fail in the same way, taking them out would reject every caller.
    """

    def __init__(self) -> None:
        """Start with a list that is not stale, since none is expected yet."""
        self.is_stale = False

    def update(self, age_ms: float, interval_factor: float) -> bool:
        """Apply the age of the list; return whether it became stale or ceased to be.

        :param age_ms: time since the list was last received from the store and applied.
        :param interval_factor: factor by which store calls are rarer than in a small fleet.
        """
        was_stale = self.is_stale
        self.is_stale = age_ms >= STALE_AFTER_MS * interval_factor
        return self.is_stale != was_stale
