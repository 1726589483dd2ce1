"""Relays the events of one server's run of a stream to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.crashes.response_phase import STEADY_EVENTS_MS
from citrondyke.decisions.forwarding.failover_timeouts import EVENT_TIMEOUT_MS
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.callers.event_stream import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.servers.server_sends import OpenReply

__all__ = ('EventRelay',)


class EventRelay:
    """Relays only whole events, so that another server can resume after the last one."""

    def __init__(self, context: Context, dialect: Dialect) -> None:
        """Use the parts handed in."""
        self._context = context
        self._dialect = dialect

    def relay(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        reply: OpenReply,
        on_first: Callable[[], None],
        on_steady: Callable[[], None],
    ) -> None:
        """Relay whole events as they arrive, until the run ends in order.

        The caller's stream is not ended: a run's end may not be that of its stream.

        :param on_first: called when the server's first event has arrived.
        :param on_steady: called once when events have been arriving for ``STEADY_EVENTS_MS``.
        :raises BrokenReplyError: if the run is interrupted; ``forwarded`` records how many events
            the caller has received and the id of the last one.
        """
        needs_ids = forwarded.is_resumable_stream
        splitter = EventSplitter(forwarded.last_event_id, needs_ids=needs_ids)
        is_first = True
        steady_ms = float('inf')
        progress_ms = self._context.now_ms()
        while True:
            chunk = reply.connection.read_chunk(_until_ms(forwarded, progress_ms))
            if chunk is None:
                break
            events = splitter.feed(chunk)
            forwarded.is_in_event = not splitter.is_between_events
            if not events:
                continue
            if any(event.is_progress for event in events):
                progress_ms = self._context.now_ms()
            if is_first:
                is_first = False
                steady_ms = self._context.now_ms() + STEADY_EVENTS_MS
                on_first()
            elif self._context.now_ms() >= steady_ms:
                steady_ms = float('inf')
                on_steady()
            self._begin(caller, forwarded, reply)
            caller.send_chunk(b''.join(event.raw for event in events))
            forwarded.events_count += len(events)
            forwarded.run_events_count = splitter.progress_count
            forwarded.last_event_id = splitter.last_id
        _check_end(forwarded, splitter, is_framed=reply.connection.is_framed)

    def end(self, caller: CallerConnection, forwarded: ForwardedRequest, reply: OpenReply) -> None:
        """End the caller's stream, marking it as complete."""
        self._begin(caller, forwarded, reply)
        caller.stop_watching_disconnect()
        caller.end_stream()

    def _begin(
        self, caller: CallerConnection, forwarded: ForwardedRequest, reply: OpenReply
    ) -> None:
        """Start the caller's stream with the head of the first server's response, once."""
        if forwarded.has_begun:
            return
        forwarded.has_begun = True
        forwarded.first_answer_ms = self._context.now_ms()
        forwarded.is_framed = reply.connection.is_framed
        caller.start_stream(
            reply.head.status,
            self._dialect.response_headers(reply.head),
            is_framed=forwarded.is_framed,
        )


def _check_end(forwarded: ForwardedRequest, splitter: EventSplitter, *, is_framed: bool) -> None:
    """Check whether a run ends in order.

    An end with the connection and without an event is that of a server that exits, unless another
    one has stated that no event follows.

    :raises BrokenReplyError: if it is interrupted.
    """
    if not forwarded.is_resumable_stream:
        splitter.check_end(is_framed=is_framed)
        return
    splitter.check_end(is_framed=is_framed or forwarded.is_end_in_doubt)
    if not (is_framed or splitter.progress_count or forwarded.is_end_in_doubt):
        raise BrokenReplyError(ReplyFailureKind.CUT, 'closed before the first event')


def _until_ms(forwarded: ForwardedRequest, progress_ms: float) -> float:
    """Return how long to wait for the next event; bytes that are no event don't extend it."""
    if not forwarded.route.is_resumable or forwarded.is_last_attempt:
        return forwarded.until_ms
    return min(forwarded.until_ms, progress_ms + EVENT_TIMEOUT_MS)
