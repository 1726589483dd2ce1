"""Log lines of the events that decisions report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.decision_event import DecisionEvent
    from citrondyke.util.clock import Clock

__all__ = ('DecisionLog',)

log = logbook.Logger(__name__)

#: A frequent event is logged once within this time; the next line counts the others.
FREQUENT_EVERY_MS = 100.0


class DecisionLog:
    """Logs events with the inputs of the decisions, frequent ones at intervals."""

    def __init__(self, clock: Clock) -> None:
        """Start without any line."""
        self._clock = clock
        self._logged_at_ms: dict[type[DecisionEvent], float] = {}
        self._suppressed: dict[type[DecisionEvent], int] = {}

    def record(self, event: DecisionEvent) -> None:
        """Log an event."""
        kind = type(event)
        extra = msgspec.to_builtins(event)
        if event.is_frequent:
            now_ms = self._clock.now_ms()
            if now_ms < self._logged_at_ms.get(kind, float('-inf')) + FREQUENT_EVERY_MS:
                self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
                return
            self._logged_at_ms[kind] = now_ms
            extra['suppressed_count'] = self._suppressed.pop(kind, 0)
        log.info(event.message, extra=extra)
