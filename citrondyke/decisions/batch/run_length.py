"""How long items still run, by what items of the same route took."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import RouteName

__all__ = ('RunLengthEstimator',)

#: Before anything was measured: an item of 160 events, one each 30 ms.
INITIAL_EVENTS = 160.0
INITIAL_EVENT_MS = 30.0
#: ... and lengths that differ by a quarter.
INITIAL_DEVIATION = 40.0
#: Share of a new measurement in the means.
SMOOTHING = 0.1
#: Bounds of the margin: counts and ways take some time, and a few odd items must not have the
#: rest of their route put off.
MIN_MARGIN_MS = 300.0
MAX_MARGIN_MS = 2_000.0


class _Length(msgspec.Struct):
    events: float = INITIAL_EVENTS
    deviation: float = INITIAL_DEVIATION
    event_ms: float = INITIAL_EVENT_MS


class RunLengthEstimator:
    """Mean number of events, how far items are from it, and mean pace, by route."""

    def __init__(self) -> None:
        """Start with an assumption."""
        self._lengths: dict[RouteName, _Length] = {}

    def record_complete_run(self, route: RouteName, events_count: int) -> None:
        """Take in an item that was completed."""
        length = self._lengths.setdefault(route, _Length())
        length.deviation += SMOOTHING * (abs(events_count - length.events) - length.deviation)
        length.events += SMOOTHING * (events_count - length.events)

    def record_event_interval(self, route: RouteName, events_count: int, took_ms: float) -> None:
        """Take in a run of some events."""
        if events_count > 0:
            length = self._lengths.setdefault(route, _Length())
            length.event_ms += SMOOTHING * (took_ms / events_count - length.event_ms)

    def remaining_ms(self, route: RouteName, events_count: int) -> float:
        """Give the time that an item still runs, behind some events."""
        length = self._lengths.get(route) or _Length()
        return max(1.0, length.events - events_count) * length.event_ms

    def margin_ms(self, route: RouteName) -> float:
        """Give the time by which most items are at most longer than usual."""
        length = self._lengths.get(route) or _Length()
        margin_ms = length.deviation * length.event_ms
        return min(MAX_MARGIN_MS, max(MIN_MARGIN_MS, margin_ms))
