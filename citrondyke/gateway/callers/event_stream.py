"""Cuts a stream of events into whole ones and checks their order."""

from __future__ import annotations

import msgspec

from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError

__all__ = ('EventSplitter', 'StreamEvent')


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event."""

    #: As it came, with its closing blank line.
    raw: bytes
    id: int | None
    #: Its data lines, joined by line feeds.
    data: bytes


class EventSplitter:
    """Gives whole events only, each id one more than the last.

    A server may stop in the middle of an event. Half of one passed on would be joined with the
    first half of the next run's, and the caller would read a text that no server wrote.
    """

    def __init__(self, last_id: int | None = None) -> None:
        """Start behind an event; ``None`` for any first id."""
        self._unparsed = b''
        self.last_id = last_id

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; give the events that are whole.

        :raises BrokenReplyError: when an event is missing or comes twice.
        """
        self._unparsed += data
        found: list[StreamEvent] = []
        while True:
            end, width = _end_of_event(self._unparsed)
            if end < 0:
                return found
            raw = self._unparsed[: end + width]
            self._unparsed = self._unparsed[end + width :]
            found.append(self._check_order(_parse(raw)))

    @property
    def is_between_events(self) -> bool:
        """Tell whether nothing of a next event has come."""
        return not self._unparsed.strip()

    def _check_order(self, event: StreamEvent) -> StreamEvent:
        if event.id is not None:
            if self.last_id is not None and event.id != self.last_id + 1:
                raise BrokenReplyError(
                    BreakKind.MALFORMED, f'event {event.id} behind {self.last_id}'
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
