"""Cuts a stream of bytes into server-sent events."""

from __future__ import annotations

__all__ = ('DONE_EVENT', 'SseSplitter', 'event_data')

DONE_EVENT = b'data: [DONE]\n\n'
_END = b'\n\n'
_DATA = b'data:'


class SseSplitter:
    """Gives whole frames only, so that a cut never passes half a token on."""

    def __init__(self) -> None:
        """Start at the first byte."""
        self._partial = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes; give the frames that are whole, each with its closing blank line."""
        if self._partial:
            data = self._partial + data
        if b'\r' in data:
            data = data.replace(b'\r\n', b'\n')
        parts = data.split(_END)
        self._partial = parts.pop()
        return [part + _END for part in parts if part.strip()]


def event_data(frame: bytes) -> bytes:
    """Give the data of a frame."""
    lines = (line for line in frame.split(b'\n') if line.startswith(_DATA))
    return b'\n'.join(line[len(_DATA) :].strip() for line in lines)
