"""Passes the events of one server's stream on to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.forwarding.failover_timeouts import EVENT_TIMEOUT_MS
from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.gateway.callers.event_stream import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.forwarding import Forwarding
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.servers.server_sends import OpenReply

__all__ = ('EventRelay',)


class EventRelay:
    """Sends whole events only, so that another server can go on behind the last one."""

    def __init__(self, context: Context, dialect: Dialect) -> None:
        """Use the parts handed in."""
        self._context = context
        self._dialect = dialect

    def relay(
        self,
        caller: CallerConnection,
        forwarding: Forwarding,
        reply: OpenReply,
        on_first: Callable[[], None],
    ) -> None:
        """Pass whole events on as they come, to the stream's end.

        :param on_first: called when the server's first event is there.
        :raises BrokenReplyError: when the stream breaks off; what the caller has is noted.
        """
        splitter = EventSplitter(forwarding.last_event_id)
        is_first = True
        while True:
            piece = reply.connection.read_piece(self._until_ms(forwarding))
            if piece is None:
                break
            events = splitter.feed(piece)
            if not events:
                continue
            if is_first:
                is_first = False
                on_first()
            self._begin(caller, forwarding, reply)
            caller.send_piece(b''.join(event.raw for event in events))
            forwarding.events_count += len(events)
            forwarding.last_event_id = splitter.last_id
        if not splitter.is_between_events:
            raise BrokenReplyError(BreakKind.CUT, 'in the middle of an event')
        self._begin(caller, forwarding, reply)
        caller.unwatch()
        caller.end_stream()

    def _begin(self, caller: CallerConnection, forwarding: Forwarding, reply: OpenReply) -> None:
        """Send the head of the first server's answer, once."""
        if forwarding.has_begun:
            return
        forwarding.has_begun = True
        forwarding.first_answer_ms = self._context.now_ms()
        caller.start_stream(reply.head.status, self._dialect.answer_headers(reply.head))

    def _until_ms(self, forwarding: Forwarding) -> float:
        if not forwarding.route.is_resumable or forwarding.course.is_last_attempt:
            return forwarding.until_ms
        return min(forwarding.until_ms, self._context.now_ms() + EVENT_TIMEOUT_MS)
