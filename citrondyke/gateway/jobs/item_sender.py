"""One run of one batch item at one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.decisions.batch.owned_job import RunResult, give_up_epoch_ms
from citrondyke.decisions.crashes.response_phase import STEADY_EVENTS_MS
from citrondyke.decisions.streams.stream_end import RunEnd
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.errors.item_preempted import ItemPreemptedError
from citrondyke.gateway.callers.event_stream import EventSplitter
from citrondyke.gateway.server_names import server_names
from citrondyke.ids import RequestId

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.batch.job_clock import JobClock
    from citrondyke.decisions.batch.owned_job import ItemProgress
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.streams.stream_end import EndVerdict
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
    from citrondyke.gateway.servers.reply_reader import ReplyHead
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.gateway.servers.server_sends import ServerSends
    from citrondyke.ids import ServerIncarnation, ServiceName

__all__ = ('ItemSender',)

log = logbook.Logger(__name__)

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
        job_clock: JobClock,
        sends: ServerSends,
        dialect: Dialect,
        refresher: ReplicaRefresher,
        metrics: Metrics,
        has_servers: Callable[
            [ServiceName, Collection[ServerIncarnation], StreamOrigin | None], bool
        ],
        polls_rarely: Callable[[], bool],
    ) -> None:
        """Initialize the sender.

        :param has_servers: returns whether a service has servers beside some, which may continue
            what a server of an origin began.
        :param polls_rarely: returns whether to pause between reads of events.
        """
        self._refresher = refresher
        self._metrics = metrics
        self._has_servers = has_servers
        self._polls_rarely = polls_rarely
        self._context = context
        self._job_clock = job_clock
        self._sends = sends
        self._dialect = dialect

    def run(
        self,
        progress: ItemProgress,
        head: JobHead,
        state: ServerState,
        chosen_ms: float,
        on_answered: Callable[[], None],
        has_exited: Callable[[], bool],
    ) -> RunResult:
        """Run an item of a job, resuming after its last event.

        :param chosen_ms: when the server was chosen, by the fence clock.
        :param on_answered: called when the item counts as answered: after ``STEADY_EVENTS_MS`` of
            events, and at the end of the item if it is told apart from that of its connection.
        :param has_exited: called at the end of a run that ended with its connection; returns
            whether the server has exited.
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
            result = self._exchange(connection, progress, head, state, on_answered, has_exited)
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
        has_exited: Callable[[], bool],
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
        if not reply.head.is_event_stream:
            # A 204 has no event either, but it says nothing about the item's output.
            connection.record_unfinished(RequestId(item.id))
            connection.read_body(until_ms, FAILURE_BODY_BYTES)
            self._log_end(progress, state, reply.head, 'no_run', 0, is_framed=connection.is_framed)
            return _result_of_status(status)
        events_before = len(progress.texts)
        self._read_events(
            connection, progress, head, state.listed.origin, until_ms, on_answered, has_exited
        )
        events_count = len(progress.texts) - events_before
        verdict = self._record_end(progress, state, events_count, is_framed=connection.is_framed)
        self._log_end(
            progress,
            state,
            reply.head,
            verdict.value,
            events_count,
            is_framed=connection.is_framed,
        )
        if verdict.is_complete or events_count:
            state.record_success()
        if not verdict.is_complete:
            connection.record_unfinished(RequestId(item.id))
            return RunResult.UNCONFIRMED
        if connection.is_framed:
            on_answered()
        return RunResult.COMPLETED

    def _record_end(
        self, progress: ItemProgress, state: ServerState, events_count: int, *, is_framed: bool
    ) -> EndVerdict:
        origin = progress.origin
        is_resumable = origin is None or bool(origin.version)
        # An item of which no run may go on begins anew at any server.
        next_origin = origin if is_resumable else None
        return progress.end.record_end(
            RunEnd(state.incarnation, is_framed, events_count, progress.last_event_id),
            progress.text,
            lambda heard: self._has_servers(state.listed.service, heard, next_origin),
            self._context.now_ms(),
            is_resumable=is_resumable,
        )

    def _log_end(
        self,
        progress: ItemProgress,
        state: ServerState,
        head: ReplyHead,
        verdict: str,
        events_count: int,
        *,
        is_framed: bool,
    ) -> None:
        self._metrics.counters[f'item_ends_{verdict}'] += 1
        log.info(
            'item.ended',
            extra={
                'item_id': progress.item.id,
                'server_id': state.listed.id,
                'status': head.status,
                'verdict': verdict,
                'is_framed': is_framed,
                'events_count': events_count,
                'last_event_id': progress.last_event_id,
                'stated_by': server_names(progress.end.ending_servers),
            },
        )

    def _read_events(
        self,
        connection: ServerConnection,
        progress: ItemProgress,
        head: JobHead,
        origin: StreamOrigin,
        until_ms: float,
        on_answered: Callable[[], None],
        has_exited: Callable[[], bool],
    ) -> None:
        splitter = EventSplitter(progress.last_event_id, needs_ids=True)
        events_before = len(progress.texts)
        is_ended = False
        try:
            self._read_text(connection, progress, head, origin, until_ms, on_answered, splitter)
            has_events = len(progress.texts) > events_before
            if not splitter.is_between_events:
                raise BrokenReplyError(ReplyFailureKind.CUT, 'in the middle of an event')
            if not (connection.is_framed or has_events or progress.end.is_in_doubt):
                # A server that exits before its first event looks like one that has none.
                raise BrokenReplyError(ReplyFailureKind.CUT, 'closed before the first event')
            if not connection.is_framed and has_exited():
                # The kernel closes the connections of a process that crashes in order.
                raise BrokenReplyError(ReplyFailureKind.CUT, 'exited')
            is_ended = True
        finally:
            if not is_ended:
                progress.end.record_interruption(
                    progress.last_event_id,
                    has_events=len(progress.texts) > events_before,
                    is_in_event=not splitter.is_between_events,
                )

    def _read_text(
        self,
        connection: ServerConnection,
        progress: ItemProgress,
        head: JobHead,
        origin: StreamOrigin,
        until_ms: float,
        on_answered: Callable[[], None],
        splitter: EventSplitter,
    ) -> None:
        is_steady = False
        left_ms = give_up_epoch_ms(head) - self._job_clock.epoch_ms(head)
        run_until_ms = self._context.now_ms() + left_ms
        while (piece := connection.read_chunk(min(until_ms, run_until_ms))) is not None:
            now_ms = self._context.now_ms()
            for event in splitter.feed(piece):
                if not event.is_progress:
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
