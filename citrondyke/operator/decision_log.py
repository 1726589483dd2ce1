"""Log lines of the events that decisions report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.util.line_limiter import LineLimiter

if TYPE_CHECKING:
    from citrondyke.decisions.core.decision_event import DecisionEvent
    from citrondyke.util.clock import Clock

__all__ = ('DecisionLog',)

log = logbook.Logger(__name__)

#: While no server is usable, each request reports an event.
LINES_PER_KIND_S = 20


class DecisionLog:
    """Logs events with the inputs of the decisions, a limited number of each kind."""

    def __init__(self, clock: Clock) -> None:
        """Start without any line."""
        self._clock = clock
        self._limiters: dict[type[DecisionEvent], LineLimiter] = {}

    def record(self, event: DecisionEvent) -> None:
        """Log an event."""
        kind = type(event)
        limiter = self._limiters.get(kind)
        if limiter is None:
            limiter = self._limiters[kind] = LineLimiter(self._clock, LINES_PER_KIND_S)
        omitted_count = limiter.admit()
        if omitted_count is not None:
            fields = msgspec.to_builtins(event)
            log.info(event.message, extra={**fields, 'omitted_count': omitted_count})
