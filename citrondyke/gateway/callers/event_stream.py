"""Splits a stream of server-sent events into whole events and checks their order."""

from __future__ import annotations

import re

import msgspec

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.util.numbers import parse_count, shortened

__all__ = ('EventSplitter', 'StreamEvent')

EVENT_END = re.compile(rb'\r\n\r\n|\n\n')
#: Length of the longest end of an event.
EVENT_END_BYTES = 4
#: Limit on one event; the texts of some tokens take a hundredth of it.
EVENT_LIMIT_BYTES = 262_144
#: Limit on blocks in a row that are no part of the stream, such as comments that keep it open.
IDLE_LIMIT_BYTES = 65_536
#: Limit on a whole stream, the same as on a response that is relayed whole.
STREAM_LIMIT_BYTES = 4 * 1024 * 1024


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole server-sent event."""

    #: The event as received, with its closing blank line.
    raw: bytes
    id: int | None
    #: Its data lines, joined by line feeds.
    data: bytes
    #: Whether it has data lines; a block of comments has none.
    has_data: bool = True

    @property
    def is_progress(self) -> bool:
        """Whether it is a further part of the stream, after which the stream can be resumed."""
        return self.has_data and self.id is not None


class EventSplitter:
    """Splits bytes into whole events and checks that each id is one more than the last.

    A server may fail in the middle of an event. If the first half were relayed, the caller would
    join it with the next server's event and read a text that no server sent.
    """

    def __init__(self, last_id: int | None = None, *, needs_ids: bool = False) -> None:
        """Start after an event.

        :param last_id: id of the event before the first one; ``None`` accepts any first id.
        :param needs_ids: whether each event with data must have an id, because the stream may be
            resumed after it. Otherwise the caller might get the event twice.
        """
        self._needs_ids = needs_ids
        self._unparsed = bytearray()
        #: Length of ``_unparsed`` in which no event ends.
        self._searched_bytes = 0
        self._received_bytes = 0
        self._idle_bytes = 0
        self._has_events = False
        #: Events with an id and data so far.
        self.progress_count = 0
        #: Id of the last event; the initial one if none had an id.
        self.last_id = last_id

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are whole now.

        :raises BrokenReplyError: if an event is missing, duplicated, too large or lacks an id that
            it needs, or if the stream goes on without events or without an end.
        """
        self._received_bytes += len(data)
        _check_size('stream', self._received_bytes, STREAM_LIMIT_BYTES)
        self._unparsed += data
        found: list[StreamEvent] = []
        start = 0
        search_from = max(0, self._searched_bytes - EVENT_END_BYTES + 1)
        while (end := EVENT_END.search(self._unparsed, search_from)) is not None:
            raw = bytes(self._unparsed[start : end.end()])
            start = search_from = end.end()
            found.append(self._check(_parse(raw)))
        del self._unparsed[:start]
        self._searched_bytes = len(self._unparsed)
        _check_size('event', self._searched_bytes, EVENT_LIMIT_BYTES)
        return found

    @property
    def is_between_events(self) -> bool:
        """Whether no part of a further event was received."""
        return not self._unparsed.strip()

    def check_end(self, *, is_framed: bool) -> None:
        """Check whether a stream may end here.

        :param is_framed: whether its end is told apart from the end of its connection. Otherwise a
            server that exits before its first event looks like one whose stream is empty.
        :raises BrokenReplyError: if the stream is truncated.
        """
        if not self.is_between_events:
            raise BrokenReplyError(ReplyFailureKind.CUT, 'in the middle of an event')
        if not is_framed and not self._has_events:
            raise BrokenReplyError(ReplyFailureKind.CUT, 'closed before the first event')

    def _check(self, event: StreamEvent) -> StreamEvent:
        _check_size('event', len(event.raw), EVENT_LIMIT_BYTES)
        if self._needs_ids and event.has_data and event.id is None:
            raise BrokenReplyError(ReplyFailureKind.MALFORMED, 'event without an id')
        self._has_events = True
        self.progress_count += event.is_progress
        self._idle_bytes = 0 if event.is_progress else self._idle_bytes + len(event.raw)
        _check_size('blocks without an event', self._idle_bytes, IDLE_LIMIT_BYTES)
        if event.id is not None:
            if self.last_id is not None and event.id != self.last_id + 1:
                raise BrokenReplyError(
                    ReplyFailureKind.MALFORMED, f'event {event.id} after event {self.last_id}'
                )
            self.last_id = event.id
        return event


def _check_size(what: str, size_bytes: int, limit_bytes: int) -> None:
    if size_bytes > limit_bytes:
        raise BrokenReplyError(ReplyFailureKind.OVERSIZED, f'{what}: over {limit_bytes} bytes')


def _parse(raw: bytes) -> StreamEvent:
    """Parse an event; an id that is no number is ignored.

    :raises BrokenReplyError: if the number of its id is out of range.
    """
    event_id = None
    data: list[bytes] = []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'id' and value.isdigit():
            event_id = parse_count(value)
            if event_id is None:
                # Without its id, the stream would be resumed at the wrong event.
                detail = f'event {shortened(value)}'
                raise BrokenReplyError(ReplyFailureKind.MALFORMED, detail)
        elif name == b'data':
            data.append(value)
    return StreamEvent(raw, event_id, b'\n'.join(data), has_data=bool(data))
