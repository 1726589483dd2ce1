"""Relays the runs of a stream, and decides at the end of each whether the stream has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.streams.stream_end import RunEnd
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.callers.event_relay import EventRelay
from citrondyke.gateway.servers.server_sends import SERVER_FAILURE
from citrondyke.util.http_status import FIRST_NOT_SUCCESSFUL

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.callers.caller_connection import CallerConnection
    from citrondyke.gateway.callers.forwarded_request import ForwardedRequest
    from citrondyke.gateway.callers.request_log import RequestLog
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
    from citrondyke.gateway.servers.reply_reader import ReplyHead
    from citrondyke.gateway.servers.server_sends import OpenReply

__all__ = ('StreamContinuation',)


class StreamContinuation:
    """Ends a caller's stream only where something proves that it has ended."""

    def __init__(
        self, context: Context, dialect: Dialect, guard: PoisonRequestGuard, log: RequestLog
    ) -> None:
        """Use the parts handed in."""
        self._relay = EventRelay(context, dialect)
        self._guard = guard
        self._log = log

    def is_run(self, forwarded: ForwardedRequest, head: ReplyHead) -> bool:
        """Return whether a response is a run of a stream, and not relayed as a whole answer.

        :raises BrokenReplyError: if it is another answer in place of a stream that goes on.
        """
        if forwarded.route.kind is not RouteKind.STREAM:
            return False
        if head.is_event_stream:
            return True
        limit = SERVER_FAILURE if forwarded.has_begun else FIRST_NOT_SUCCESSFUL
        if forwarded.goes_on and head.status < limit:
            detail = f'status {head.status}, no events of the stream'
            raise BrokenReplyError(ReplyFailureKind.MALFORMED, detail)
        return False

    def relay_run(
        self,
        caller: CallerConnection,
        forwarded: ForwardedRequest,
        state: ServerState,
        reply: OpenReply,
        on_first: Callable[[], None],
        on_steady: Callable[[], None],
    ) -> bool:
        """Relay a run, and end the caller's stream if it has ended.

        :param on_first: called when the server's first event has arrived.
        :param on_steady: called once when events have been arriving for ``STEADY_EVENTS_MS``.
        :returns: whether it has ended; if not, another server has to state whether events follow.
        :raises BrokenReplyError: if the run is interrupted.
        """
        stating = forwarded.stream_end.ending_servers
        is_in_order = False
        try:
            self._relay.relay(caller, forwarded, reply, on_first, on_steady)
            self._check_exit(forwarded, state, reply)
            is_in_order = True
        finally:
            # The instance may also be stopping: what was stated before must not end the stream.
            if not is_in_order:
                self._record_interruption(forwarded)
            if stating and forwarded.run_events_count:
                self._log.stream_end_refuted(forwarded, state, stating)
        is_ended = self._record_end(forwarded, state, reply)
        if is_ended:
            self._relay.end(caller, forwarded, reply)
        return is_ended

    def _record_end(
        self, forwarded: ForwardedRequest, state: ServerState, reply: OpenReply
    ) -> bool:
        is_framed = reply.connection.is_framed
        if forwarded.is_resumable_stream:
            forwarded.end_verdict = forwarded.stream_end.record_end(
                RunEnd(
                    state.incarnation,
                    is_framed,
                    forwarded.run_events_count,
                    forwarded.last_event_id,
                ),
                has_other_servers=forwarded.has_others_to_confirm,
            )
        self._log.stream_run_ended(forwarded, state, reply.head.status, is_framed=is_framed)
        forwarded.was_interrupted = False
        verdict = forwarded.end_verdict
        return verdict is None or verdict.is_complete or _is_stated_again(forwarded)

    @staticmethod
    def _record_interruption(forwarded: ForwardedRequest) -> None:
        forwarded.was_interrupted = True
        forwarded.end_verdict = None
        forwarded.stream_end.record_interruption(
            forwarded.last_event_id,
            has_events=bool(forwarded.run_events_count),
            is_in_event=forwarded.is_in_event,
        )

    def _check_exit(
        self, forwarded: ForwardedRequest, state: ServerState, reply: OpenReply
    ) -> None:
        """Check that a server whose run ended with its connection has not exited.

        The kernel closes the connections of a process that crashes in order. A request that crashes
        servers would otherwise have its end confirmed by their exits, and no exit would count as
        evidence against it.

        :raises BrokenReplyError: if it has.
        """
        if reply.connection.is_framed or not forwarded.is_resumable_stream:
            return
        self._guard.record_interrupted(
            state, forwarded.keys, ReplyFailureKind.CUT, forwarded.server_first_ms
        )
        if self._guard.has_exited(state):
            raise BrokenReplyError(ReplyFailureKind.CUT, 'exited')


def _is_stated_again(forwarded: ForwardedRequest) -> bool:
    """Return whether an end is passed on unconfirmed because a server was asked about it.

    Servers that never frame their responses can't prove an end. Asking all of them would multiply
    the runs of each of their streams.
    """
    return forwarded.may_end_unconfirmed and bool(forwarded.stream_end.stating_servers)
