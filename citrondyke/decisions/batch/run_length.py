"""Estimated remaining run time of items, from earlier items of the same route."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import RouteName

__all__ = ('RunLengthEstimator',)

#: Assumption before the first measurement: items of 160 events, one event every 30 ms ...
INITIAL_EVENTS = 160.0
INITIAL_EVENT_MS = 30.0
#: ... with lengths that deviate by a quarter.
INITIAL_DEVIATION = 40.0
#: Weight of a new measurement in the moving averages.
SMOOTHING = 0.1
#: Bounds of the margin: load counts and transfers are delayed, which sets the lower one. The upper
#: one keeps a few unusually long items from deferring the rest of their route.
MIN_MARGIN_MS = 300.0
MAX_MARGIN_MS = 2_000.0


class _Length(msgspec.Struct):
    events: float = INITIAL_EVENTS
    deviation: float = INITIAL_DEVIATION
    event_ms: float = INITIAL_EVENT_MS


class RunLengthEstimator:
    """Moving averages of item length, its deviation and the time per event, by route."""

    def __init__(self) -> None:
        """Start with the initial assumptions."""
        self._lengths: dict[RouteName, _Length] = {}

    def record_complete_run(self, route: RouteName, events_count: int) -> None:
        """Record the number of events of a completed item."""
        length = self._lengths.setdefault(route, _Length())
        length.deviation += SMOOTHING * (abs(events_count - length.events) - length.deviation)
        length.events += SMOOTHING * (events_count - length.events)

    def record_event_interval(self, route: RouteName, events_count: int, took_ms: float) -> None:
        """Record the duration of a run that produced some events."""
        if events_count > 0:
            length = self._lengths.setdefault(route, _Length())
            length.event_ms += SMOOTHING * (took_ms / events_count - length.event_ms)

    def remaining_ms(self, route: RouteName, events_count: int) -> float:
        """Return the expected remaining run time of an item after some events."""
        length = self._lengths.get(route) or _Length()
        return max(1.0, length.events - events_count) * length.event_ms

    def margin_ms(self, route: RouteName) -> float:
        """Return the time by which most items exceed the mean run time at most."""
        length = self._lengths.get(route) or _Length()
        margin_ms = length.deviation * length.event_ms
        return min(MAX_MARGIN_MS, max(MIN_MARGIN_MS, margin_ms))
