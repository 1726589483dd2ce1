"""Phases of a response, by which it is evidence for or against its request."""

from __future__ import annotations

__all__ = ('STEADY_EVENTS_MS', 'is_past_start')

#: A request whose response has been arriving for longer than this, the time of some ten events,
#: has passed the phase in which a poison request crashes its server.
FRESH_EVENTS_MS = 300.0
#: A request whose response has been arriving for this long counts as answered. A batch item takes
#: several seconds, and a popular part of its prompt is not proven before an item is answered.
STEADY_EVENTS_MS = 1_000.0


def is_past_start(first_event_ms: float | None, now_ms: float) -> bool:
    """Return whether a response has passed the phase in which its server may crash under it.

    :param first_event_ms: when the server's first event arrived; ``None`` before that.
    """
    return first_event_ms is not None and now_ms - first_event_ms > FRESH_EVENTS_MS
