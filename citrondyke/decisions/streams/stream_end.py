"""Whether the end of one server's run is the end of the stream."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import ServerIncarnation

__all__ = ('EndVerdict', 'RunEnd', 'StreamEnd')

#: Servers that must agree where a stream ends, if the last run that brought events doesn't prove
#: it. After an interrupted run, an end without an event has two readings: the interruption came
#: after the last event, or the server has lost or never had the request.
AGREEING_SERVERS = 2


class EndVerdict(Enum):
    """What the ends of a stream's runs prove."""

    #: The last run brought events and an end that is told apart from that of its connection.
    COMPLETE_BY_FRAMING = 'framing'
    #: Enough servers state that nothing follows.
    COMPLETE_BY_AGREEMENT = 'agreement'
    #: Another server has to state whether anything follows.
    UNCONFIRMED = 'unconfirmed'

    @property
    def is_complete(self) -> bool:
        """Whether the stream is complete."""
        return self is not EndVerdict.UNCONFIRMED


class RunEnd(msgspec.Struct, frozen=True):
    """The orderly end of a run: its response ended between two events."""

    server: ServerIncarnation
    #: Whether the end is told apart from the end of the connection.
    is_framed: bool
    #: Events with an id and data that the run brought.
    events_count: int
    #: Id of the last event of the stream, of this run or an earlier one; ``None`` if there is none.
    last_event_id: int | None


class StreamEnd:
    """Collects what servers state about the end of one stream.

    The end of a run is the end of its stream only if something proves it: otherwise a caller gets a
    part of a stream as the whole one.
    """

    def __init__(self, *, may_be_empty: bool) -> None:
        """Start before the first run.

        :param may_be_empty: whether one server's framed end is enough for a stream without events,
            of which no run was interrupted.
        """
        self._may_be_empty = may_be_empty
        self._last_event_id: int | None = None
        #: Ends without a further event.
        self._ends: list[RunEnd] = []
        #: Server whose run brought the last event and ended in order with its connection.
        self._closed_by: ServerIncarnation | None = None
        self._is_next_begun = False
        self._has_events = False
        self._was_interrupted = False

    @property
    def was_interrupted(self) -> bool:
        """Whether a run of the stream was interrupted."""
        return self._was_interrupted

    @property
    def stating_servers(self) -> frozenset[ServerIncarnation]:
        """Servers that were asked what follows and have stated that nothing does."""
        return frozenset(end.server for end in self._ends)

    @property
    def ending_servers(self) -> frozenset[ServerIncarnation]:
        """The stating servers, and the one that closed its connection after the last event."""
        closed_by = () if self._closed_by is None else (self._closed_by,)
        return self.stating_servers.union(closed_by)

    @property
    def is_in_doubt(self) -> bool:
        """Whether a server's run has ended in order, which doesn't prove the end yet."""
        return bool(self.ending_servers)

    @property
    def ended_with_connection(self) -> bool:
        """Whether the run that brought the last event ended in order with its connection.

        If a part of a further event was received since, that end was not the end of the stream.
        """
        return self._closed_by is not None and not self._is_next_begun

    def record_end(self, end: RunEnd, *, has_other_servers: bool = True) -> EndVerdict:
        """Record the orderly end of a run.

        :param has_other_servers: whether a server that has stated nothing yet may be asked. If
            there is none, a further run at the same server counts instead, so that the stream ends.
        """
        self._move_to(end.last_event_id, has_events=bool(end.events_count))
        is_empty = not (end.last_event_id or self._has_events or self._was_interrupted)
        if end.is_framed and (end.events_count or (is_empty and self._may_be_empty)):
            return EndVerdict.COMPLETE_BY_FRAMING
        if end.events_count:
            self._closed_by = end.server
        else:
            self._ends.append(end)
        if self._is_agreed(has_other_servers=has_other_servers):
            return EndVerdict.COMPLETE_BY_AGREEMENT
        return EndVerdict.UNCONFIRMED

    def record_interruption(
        self, last_event_id: int | None, *, has_events: bool, is_in_event: bool
    ) -> None:
        """Record that a run was interrupted.

        :param has_events: whether the run brought events.
        :param is_in_event: whether a part of the next event was received.
        """
        self._move_to(last_event_id, has_events=has_events)
        self._is_next_begun = self._is_next_begun or is_in_event
        self._was_interrupted = True

    def _move_to(self, last_event_id: int | None, *, has_events: bool) -> None:
        """Drop what was stated about an earlier event: it did not end the stream."""
        if has_events or last_event_id != self._last_event_id:
            self._ends.clear()
            self._closed_by = None
            self._is_next_begun = False
        self._has_events = self._has_events or has_events
        self._last_event_id = last_event_id

    def _is_agreed(self, *, has_other_servers: bool) -> bool:
        needed_count = AGREEING_SERVERS
        closed_count = 1 if self.ended_with_connection else 0
        if closed_count or not any(end.is_framed for end in self._ends):
            # A server that exits closes its connection like one that has nothing to add.
            needed_count += 1
        if self._is_next_begun:
            needed_count += 1
        if closed_count + len(self.stating_servers) >= needed_count:
            return True
        return not has_other_servers and closed_count + len(self._ends) > needed_count
