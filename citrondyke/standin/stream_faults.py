"""Runs of streams that end before their stream, or that prove less than their end seems to say."""

from __future__ import annotations

import zlib
from enum import Enum

__all__ = (
    'NEXT_RUN_FAULTS',
    'UNFRAMED_ENDS',
    'StreamFault',
    'StreamFaults',
    'faulty_response',
)

#: Events that a run brings before it breaks off.
EVENTS_BEFORE_END = 2
#: One in so many first runs is faulty.
FAULTY_ONE_IN = 3


class StreamFault(Enum):
    """How a run of a stream ends."""

    #: Reset between two events, or inside one.
    CUT = 'cut'
    CUT_IN_EVENT = 'cut_in_event'
    #: Close the connection between two events, or after the last one, without a last chunk.
    CLOSED = 'closed'
    NO_LAST_CHUNK = 'no_last_chunk'
    #: End a response without a length between two events by a close or a reset.
    UNFRAMED_CLOSED = 'unframed_closed'
    UNFRAMED_CUT = 'unframed_cut'
    #: Go on without any event.
    EMPTY_CHUNKS = 'empty_chunks'
    EMPTY_LENGTH = 'empty_length'
    NO_CONTENT = 'no_content'
    UNFRAMED_EMPTY = 'unframed_empty'
    #: Go on with an event without an id alone.
    NO_ID = 'no_id'


_RESETS = (StreamFault.CUT, StreamFault.CUT_IN_EVENT, StreamFault.UNFRAMED_CUT)
#: Faults whose connection is closed in order, at the end of a response without a length.
UNFRAMED_ENDS = (StreamFault.UNFRAMED_CLOSED, StreamFault.UNFRAMED_EMPTY)
#: Faults of runs that go on after another one.
NEXT_RUN_FAULTS = (
    StreamFault.EMPTY_CHUNKS,
    StreamFault.EMPTY_LENGTH,
    StreamFault.NO_CONTENT,
    StreamFault.UNFRAMED_EMPTY,
    StreamFault.UNFRAMED_CLOSED,
    StreamFault.NO_ID,
)
_EMPTY_HEADS = {
    StreamFault.EMPTY_LENGTH: b'200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0',
    StreamFault.NO_CONTENT: b'204 No Content',
}


class StreamFaults:
    """Faults that all servers of a test share.

    Each body gets a fault of its first runs once, and one of its runs that go on once: two servers
    that agree on a wrong end can't be told from sound ones.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.first_run: StreamFault | None = None
        self.next_run: StreamFault | None = None
        self._harmed: set[tuple[bytes, bool]] = set()

    def choose(self, body: bytes, *, is_first: bool) -> StreamFault | None:
        """Return the fault of the run that begins; ``None`` for a sound one."""
        fault = self.first_run if is_first else self.next_run
        if fault is None or (body, is_first) in self._harmed:
            return None
        if is_first and zlib.crc32(body) % FAULTY_ONE_IN:
            return None
        self._harmed.add((body, is_first))
        return fault


def faulty_response(
    fault: StreamFault, headers: list[tuple[bytes, bytes]], events: list[bytes]
) -> tuple[list[bytes], bool]:
    """Return the pieces of a response, and whether its connection is reset after them.

    :param events: what a sound run would bring.
    """
    lines = b''.join(b'\r\n%b: %b' % pair for pair in headers) + b'\r\nConnection: close'
    if fault in _EMPTY_HEADS:
        return [b'HTTP/1.1 ' + _EMPTY_HEADS[fault] + lines + b'\r\n\r\n'], False
    brought = _brought_events(fault, events)
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream' + lines
    if fault is StreamFault.UNFRAMED_CUT or fault in UNFRAMED_ENDS:
        return [head + b'\r\n\r\n', *brought], fault in _RESETS
    pieces = [head + b'\r\nTransfer-Encoding: chunked\r\n\r\n']
    pieces += [b'%x\r\n%b\r\n' % (len(event), event) for event in brought]
    if fault in (StreamFault.EMPTY_CHUNKS, StreamFault.NO_ID):
        pieces.append(b'0\r\n\r\n')
    return pieces, fault in _RESETS


def _brought_events(fault: StreamFault, events: list[bytes]) -> list[bytes]:
    if fault is StreamFault.NO_LAST_CHUNK:
        return events
    if fault is StreamFault.NO_ID:
        return [b'data: without an id\n\n']
    if fault in (StreamFault.EMPTY_CHUNKS, StreamFault.UNFRAMED_EMPTY):
        return []
    brought = events[:EVENTS_BEFORE_END]
    if fault is StreamFault.CUT_IN_EVENT and brought:
        brought[-1] = brought[-1][:-5]
    return brought
