"""Splits a stream of server-sent events into whole events and checks their order."""

from __future__ import annotations

import msgspec

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind

__all__ = ('EventSplitter', 'StreamEvent')


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole server-sent event."""

    #: The event as received, with its closing blank line.
    raw: bytes
    id: int | None
    #: Its data lines, joined by line feeds.
    data: bytes


class EventSplitter:
    """Splits bytes into whole events and checks that each id is one more than the last.

    A server may fail in the middle of an event. If the first half were relayed, the caller would
    join it with the next server's event and read a text that no server sent.
    """

    def __init__(self, last_id: int | None = None) -> None:
        """Start after an event.

        :param last_id: id of the event before the first one; ``None`` accepts any first id.
        """
        self._unparsed = b''
        self._has_events = False
        self.last_id = last_id

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are whole now.

        :raises BrokenReplyError: if an event is missing or duplicated.
        """
        self._unparsed += data
        found: list[StreamEvent] = []
        while True:
            end, width = _end_of_event(self._unparsed)
            if end < 0:
                return found
            raw = self._unparsed[: end + width]
            self._unparsed = self._unparsed[end + width :]
            self._has_events = True
            found.append(self._check_order(_parse(raw)))

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

    def _check_order(self, event: StreamEvent) -> StreamEvent:
        if event.id is not None:
            if self.last_id is not None and event.id != self.last_id + 1:
                raise BrokenReplyError(
                    ReplyFailureKind.MALFORMED, f'event {event.id} after event {self.last_id}'
                )
            self.last_id = event.id
        return event


def _end_of_event(data: bytes) -> tuple[int, int]:
    plain = data.find(b'\n\n')
    windows = data.find(b'\r\n\r\n')
    if windows >= 0 and (plain < 0 or windows < plain):
        return windows, 4
    return plain, 2


def _parse(raw: bytes) -> StreamEvent:
    event_id = None
    data = []
    for line in raw.splitlines():
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'id' and value.isdigit():
            event_id = int(value)
        elif name == b'data':
            data.append(value)
    return StreamEvent(raw, event_id, b'\n'.join(data))
