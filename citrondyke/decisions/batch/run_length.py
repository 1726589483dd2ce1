"""How long items still run, by what items of the same route took."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import RouteName

__all__ = ('RunLengths',)

#: Before anything was measured: an item of 160 events, one each 30 ms.
FIRST_EVENTS = 160.0
FIRST_EVENT_MS = 30.0
#: Share of a new measurement in the means.
SHARE = 0.1


class _Length(msgspec.Struct):
    events: float = FIRST_EVENTS
    event_ms: float = FIRST_EVENT_MS


class RunLengths:
    """Mean number of events and mean pace, by route."""

    def __init__(self) -> None:
        """Start with an assumption."""
        self._lengths: dict[RouteName, _Length] = {}

    def note_whole(self, route: RouteName, events_count: int) -> None:
        """Take in an item that was completed."""
        length = self._lengths.setdefault(route, _Length())
        length.events += SHARE * (events_count - length.events)

    def note_pace(self, route: RouteName, events_count: int, took_ms: float) -> None:
        """Take in a run of some events."""
        if events_count > 0:
            length = self._lengths.setdefault(route, _Length())
            length.event_ms += SHARE * (took_ms / events_count - length.event_ms)

    def remaining_ms(self, route: RouteName, events_count: int) -> float:
        """Give the time that an item still runs, behind some events."""
        length = self._lengths.get(route) or _Length()
        return max(1.0, length.events - events_count) * length.event_ms
