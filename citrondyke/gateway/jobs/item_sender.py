"""One run of one batch item at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from citrondyke.decisions.batch.owned_job import RunResult, give_up_epoch_ms
from citrondyke.decisions.crashes.response_phase import STEADY_EVENTS_MS
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.errors.item_preempted import ItemPreemptedError
from citrondyke.gateway.callers.event_stream import EventSplitter
from citrondyke.ids import RequestId

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.batch.owned_job import ItemProgress
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.gateway.callers.event_stream import StreamEvent
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.gateway.servers.server_sends import ServerSends

__all__ = ('ItemSender',)

#: A server with a full queue delays the first event of an item by up to some seconds.
INITIAL_EVENT_MS = 3_000.0
EVENT_TIMEOUT_MS = 1_200.0
#: A page of results holds 1 MB, and a faulty server may send events without end.
TEXT_LIMIT_CHARS = 1_000_000
ITEM_IMPOSSIBLE = 422
ITEM_FAILED = 500
FAILURE_BODY_BYTES = 65_536
#: Pause between two reads of an item's events in a large fleet, where events, at one per 30 ms and
#: item, are half of all that an instance reads. A small fleet has processor time to spare and reads
#: without a pause: over a day of consecutive jobs it scored 0.83 without and 0.79 with the pause
#: (means of four and five runs).
READ_PAUSE_S = 0.08


class ItemSender:
    """Sends items to servers and reads their events; an interrupted run keeps its progress."""

    def __init__(
        self,
        context: Context,
        sends: ServerSends,
        dialect: Dialect,
        refresher: ReplicaRefresher,
        polls_rarely: Callable[[], bool],
    ) -> None:
        """Initialize the sender.

        :param polls_rarely: returns whether to pause between reads of events.
        """
        self._refresher = refresher
        self._polls_rarely = polls_rarely
        self._context = context
        self._sends = sends
        self._dialect = dialect

    def run(
        self,
        progress: ItemProgress,
        head: JobHead,
        state: ServerState,
        chosen_ms: float,
        on_answered: Callable[[], None],
    ) -> RunResult:
        """Run an item of a job, resuming after its last event.

        :param chosen_ms: when the server was chosen, by the fence clock.
        :param on_answered: called when the item counts as answered: after ``STEADY_EVENTS_MS`` of
            events, and at the end of a response that is told apart from that of its connection.
        :raises BrokenReplyError: if the connection or the reply is interrupted.
        :raises ItemPreemptedError: if the server has left since it was chosen; nothing was sent.
        """
        until_ms = self._context.now_ms() + INITIAL_EVENT_MS
        request_id = RequestId(progress.item.id)
        connection = self._sends.connect(state, request_id, only_new=False, until_ms=until_ms)
        is_answered = False
        try:
            if self._refresher.has_left(state, chosen_ms):
                raise ItemPreemptedError
            result = self._exchange(connection, progress, head, state, on_answered)
            is_answered = True
            return result
        except BrokenReplyError as error:
            # A rejection is reported by this kind, too.
            is_answered = error.failure_kind is ReplyFailureKind.NO_CONNECTION
            if error.failure_kind is ReplyFailureKind.OVERSIZED:
                # What has gone on for too long may have been wrong from its first event.
                progress.drop_events()
            raise
        finally:
            self._sends.release(state, connection, is_answered=is_answered)

    def _exchange(
        self,
        connection: ServerConnection,
        progress: ItemProgress,
        head: JobHead,
        state: ServerState,
        on_answered: Callable[[], None],
    ) -> RunResult:
        item = progress.item
        progress.first_event_ms = None
        headers = self._dialect.server_headers(
            self._dialect.item_headers(item, head.host),
            state.listed.id,
            None,
            progress.last_event_id,
            head.account,
        )
        headers.append((b'content-length', str(len(item.body)).encode()))
        connection.send(b'POST', item.path.encode('latin-1'), headers, item.body)
        until_ms = self._context.now_ms() + INITIAL_EVENT_MS
        reply = self._sends.read_reply(state, connection, RequestId(item.id), until_ms)
        status = reply.head.status
        if reply.metadata.was_not_run:
            raise BrokenReplyError(ReplyFailureKind.NO_CONNECTION, f'rejected with status {status}')
        if status >= 300:  # noqa: PLR2004
            connection.read_body(until_ms, FAILURE_BODY_BYTES)
            return _result_of_status(status)
        self._read_events(connection, progress, head, state.listed.origin, until_ms, on_answered)
        state.record_success()
        if connection.is_framed:
            on_answered()
        return RunResult.COMPLETED

    def _read_events(
        self,
        connection: ServerConnection,
        progress: ItemProgress,
        head: JobHead,
        origin: StreamOrigin,
        until_ms: float,
        on_answered: Callable[[], None],
    ) -> None:
        splitter = EventSplitter(progress.last_event_id)
        is_steady = False
        now_ms, epoch_ms = self._context.now_ms(), self._context.epoch_ms()
        run_until_ms = now_ms + give_up_epoch_ms(head) - epoch_ms
        while (piece := connection.read_chunk(min(until_ms, run_until_ms))) is not None:
            now_ms = self._context.now_ms()
            for event in splitter.feed(piece):
                if not _is_part_of_text(event):
                    continue
                # Bytes that are no event don't extend the time.
                until_ms = now_ms + EVENT_TIMEOUT_MS
                progress.first_event_ms = progress.first_event_ms or now_ms
                progress.add_event(event.data.decode('utf-8', 'replace'), event.id, origin)
            _check_size(progress)
            first_ms = progress.first_event_ms
            if not is_steady and first_ms and self._context.now_ms() - first_ms >= STEADY_EVENTS_MS:
                is_steady = True
                on_answered()
            if self._polls_rarely():
                # No caller waits for single events, so they are read in batches.
                gevent.sleep(READ_PAUSE_S)
        splitter.check_end(is_framed=connection.is_framed)


def _is_part_of_text(event: StreamEvent) -> bool:
    """Return whether an event adds to the text; comments and blocks without data do not.

    :raises BrokenReplyError: if it does but has no id, so that the run could not be resumed.
    """
    if event.has_data and event.id is None:
        raise BrokenReplyError(ReplyFailureKind.MALFORMED, 'event without an id')
    return event.has_data


def _check_size(progress: ItemProgress) -> None:
    """Check that a text can still be listed.

    :raises BrokenReplyError: if the text is too large.
    """
    if progress.text_chars > TEXT_LIMIT_CHARS:
        raise BrokenReplyError(
            ReplyFailureKind.OVERSIZED, f'text: over {TEXT_LIMIT_CHARS} characters'
        )


def _result_of_status(status: int) -> RunResult:
    if status == ITEM_IMPOSSIBLE:
        return RunResult.IMPOSSIBLE
    return RunResult.FAILED if status == ITEM_FAILED else RunResult.INTERRUPTED
