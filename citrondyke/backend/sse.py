"""Splits a byte stream into server-sent events."""

from __future__ import annotations

__all__ = ('DONE_DATA', 'DONE_EVENT', 'SseSplitter', 'event_data')

#: Data of the final event.
DONE_DATA = b'[DONE]'
DONE_EVENT = b'data: [DONE]\n\n'
_EVENT_END = b'\n\n'
#: Limit on one event; the texts of some tokens take a hundredth of it.
EVENT_LIMIT_BYTES = 262_144
STREAM_LIMIT_BYTES = 16 * 1024 * 1024
_DATA_FIELD = b'data:'


class SseSplitter:
    """Returns complete events only, so that a truncated stream never yields a partial token."""

    def __init__(self) -> None:
        """Initialize the splitter without data."""
        self._partial = b''
        self._received_bytes = 0

    @property
    def is_oversized(self) -> bool:
        """Whether an event, or the whole stream, is larger than any valid one."""
        return len(self._partial) > EVENT_LIMIT_BYTES or self._received_bytes > STREAM_LIMIT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events now complete, each with its closing blank line."""
        self._received_bytes += len(data)
        if self._partial:
            data = self._partial + data
        if b'\r' in data:
            data = data.replace(b'\r\n', b'\n')
        parts = data.split(_EVENT_END)
        self._partial = parts.pop()
        return [part + _EVENT_END for part in parts if part.strip()]


def event_data(event: bytes) -> bytes:
    """Return the data of an event, its lines joined by line feeds."""
    lines = (line for line in event.split(b'\n') if line.startswith(_DATA_FIELD))
    return b'\n'.join(line[len(_DATA_FIELD) :].strip() for line in lines)
