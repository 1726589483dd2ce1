"""Media types of responses, which are written in any case (RFC 9110, section 8.3.1)."""

from __future__ import annotations

__all__ = ('is_event_stream', 'is_json')


def is_event_stream(content_type: str) -> bool:
    """Return whether a response is a stream of server-sent events."""
    return content_type.lower().startswith('text/event-stream')


def is_json(content_type: str) -> bool:
    """Return whether a response is a JSON document."""
    return content_type.lower().startswith('application/json')
