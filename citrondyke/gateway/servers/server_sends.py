"""Connections and request counts of backend servers, and what their responses report."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.forwarding.failover_timeouts import CONNECT_TIMEOUT_MS
from citrondyke.decisions.forwarding.server_state import MISPLACED_MS
from citrondyke.decisions.servers.outcomes import Outcome
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.connection_pool import ConnectionPool
from citrondyke.gateway.servers.server_connection import open_connection
from citrondyke.gateway.sockets import is_local_failure
from citrondyke.util.http_status import is_successful

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.dialect import Dialect, ReplyMetadata
    from citrondyke.gateway.servers.reply_reader import ReplyHead
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.ids import RequestId, ServerIncarnation
    from citrondyke.util.clock import Clock

__all__ = ('SERVER_FAILURE', 'OpenReply', 'ServerSends')

log = logbook.Logger(__name__)

IDLE_PER_SERVER = 12
LOCAL_FAILURE_LOG_MS = 1_000.0
#: Statuses from this one on are failures of the server.
SERVER_FAILURE = 500
GATEWAY_TIMEOUT = 504


class OpenReply(msgspec.Struct, frozen=True):
    """Response of a server whose body has not been read yet."""

    connection: ServerConnection
    head: ReplyHead
    metadata: ReplyMetadata


class ServerSends:
    """Manages the connections to servers and counts the requests on them.

    The results and the load that responses report are recorded in the state of their server.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        on_change: Callable[[ServerState], None],
        on_outcome: Callable[[ServerState], None],
    ) -> None:
        """Start without a connection.

        :param on_change: called when the number of this instance's requests on a server changes.
        :param on_outcome: called when a server has responded, successfully or not.
        """
        self._clock = clock
        self._dialect = dialect
        self._on_change = on_change
        self._on_outcome = on_outcome
        self._idle: ConnectionPool[ServerIncarnation] = ConnectionPool(clock, IDLE_PER_SERVER)
        self._in_use: dict[ServerIncarnation, set[ServerConnection]] = {}
        #: Incarnations whose invalid slowdown factor was logged; each is logged once.
        self._invalid_load_logged: set[ServerIncarnation] = set()
        #: The same for invalid idle timeouts.
        self._invalid_keep_alive_logged: set[ServerIncarnation] = set()
        self._local_failures_count = 0
        self._local_failure_logged_ms = float('-inf')

    @contextmanager
    def counted(self, state: ServerState) -> Iterator[None]:
        """Count an online request on a server within the ``with`` block."""
        self.add_request(state, is_batch=False)
        try:
            yield
        finally:
            self.remove_request(state, is_batch=False)

    def add_request(self, state: ServerState, *, is_batch: bool) -> None:
        """Add one to the requests on a server."""
        self._count(state, 1, is_batch=is_batch)

    def remove_request(self, state: ServerState, *, is_batch: bool) -> None:
        """Subtract one from the requests on a server."""
        self._count(state, -1, is_batch=is_batch)

    def _count(self, state: ServerState, change: int, *, is_batch: bool) -> None:
        if is_batch:
            state.own.batch += change
        else:
            state.own.online += change
        self._on_change(state)

    def connect(
        self, state: ServerState, request_id: RequestId, *, only_new: bool, until_ms: float
    ) -> ServerConnection:
        """Reuse an idle connection or open one.

        :param only_new: don't reuse one: an idle connection may be stale, and a request that must
            not run twice cannot be sent again after it is cut.
        :raises BrokenReplyError: of kind ``NO_CONNECTION``; nothing was sent.
        """
        connection = None
        if not only_new:
            connection = self._idle.acquire(
                state.incarnation, lambda each: each.may_carry(request_id)
            )
        if connection is None:
            connection = self._open(state, until_ms)
        connection.assign(request_id, self._dialect.response_id)
        self._in_use.setdefault(state.incarnation, set()).add(connection)
        return connection

    def _open(self, state: ServerState, until_ms: float) -> ServerConnection:
        """Open a connection; without a free file descriptor, at the cost of the idle ones."""
        while True:
            left_ms = min(CONNECT_TIMEOUT_MS, until_ms - self._clock.now_ms())
            try:
                return open_connection(self._clock, state.listed.ip, state.listed.port, left_ms)
            except BrokenReplyError as error:
                if is_local_failure(error):
                    closed_count = self._idle.drop_all()
                    self._log_local_failure(error, closed_count)
                    if closed_count:
                        continue
                    raise
                # If the request's own deadline ended the attempt, the server has not failed.
                is_expired = left_ms < CONNECT_TIMEOUT_MS and isinstance(
                    error.__cause__, TimeoutError
                )
                if not is_expired:
                    state.record_unreachable(self._clock.now_ms())
                raise

    def _log_local_failure(self, error: BrokenReplyError, closed_count: int) -> None:
        """Log that this machine has no resources for a connection, at most once per second."""
        self._local_failures_count += 1
        now_ms = self._clock.now_ms()
        if now_ms < self._local_failure_logged_ms + LOCAL_FAILURE_LOG_MS:
            return
        self._local_failure_logged_ms = now_ms
        log.warning(
            'server.no_local_resources',
            extra={
                'detail': str(error.__cause__),
                'closed_idle': closed_count,
                'failures': self._local_failures_count,
            },
        )

    def release(
        self, state: ServerState, connection: ServerConnection, *, is_answered: bool
    ) -> None:
        """Return a connection to the pool if it may be reused, else close it.

        :param is_answered: whether the exchange has ended with an answer. Otherwise its request may
            be sent again, and a late copy of its response would have the same id.
        """
        if not is_answered:
            connection.close_after_exchange()
        in_use = self._in_use.get(state.incarnation, set())
        in_use.discard(connection)
        if not in_use:
            self._in_use.pop(state.incarnation, None)
        if state.is_delisted:
            connection.close()
        else:
            self._idle.release(state.incarnation, connection)

    def close_idle(self, state: ServerState) -> None:
        """Close the idle connections to a removed server; requests in flight may still finish."""
        self._idle.drop(state.incarnation)
        self._invalid_load_logged.discard(state.incarnation)
        self._invalid_keep_alive_logged.discard(state.incarnation)

    def abort_incarnation(self, state: ServerState) -> None:
        """Abort the requests in flight at an incarnation that has ended.

        If the server crashed while it was partitioned, its connections show no sign of it. Without
        this, callers would wait for a response until their own timeouts.
        """
        self._idle.drop(state.incarnation)
        for connection in self._in_use.get(state.incarnation, ()):
            connection.shut_down()

    def read_reply(
        self,
        state: ServerState,
        connection: ServerConnection,
        request_id: RequestId,
        until_ms: float,
    ) -> OpenReply:
        """Read the head of the response to a request.

        Nothing that a response says is used before it is known to be the response to this request:
        a faulty server may send an earlier one again. Such a copy is skipped.

        :raises BrokenReplyError: if no response arrives, or one to another request.
        """
        head = connection.read_head(until_ms)
        metadata = self._dialect.reply_metadata(head, connection.sent_headers)
        if connection.late_copies_count:
            log.info(
                'server.late_copy',
                extra={
                    'request_id': request_id,
                    'server_id': state.listed.id,
                    'copies': connection.late_copies_count,
                },
            )
        if connection.invalid_keep_alive:
            self._log_invalid_keep_alive(state, connection)
        _check_is_response_to(request_id, metadata, connection)
        now_ms = self._clock.now_ms()
        self._record_load(state, metadata, now_ms)
        if metadata.is_misplaced:
            self._record_misplaced(state, request_id, head, now_ms)
        if metadata.was_not_run or not is_successful(head.status):
            connection.record_unfinished(request_id)
        if metadata.was_not_run:
            return OpenReply(connection, head, metadata)
        self._record_status(state, head.status, now_ms)
        return OpenReply(connection, head, metadata)

    @staticmethod
    def _record_misplaced(
        state: ServerState, request_id: RequestId, head: ReplyHead, now_ms: float
    ) -> None:
        state.record_misplaced(now_ms)
        log.info(
            'server.misplaced',
            extra={
                'request_id': request_id,
                'server_id': state.listed.id,
                'status': head.status,
                'again_in_ms': MISPLACED_MS,
            },
        )

    def _record_status(self, state: ServerState, status: int, now_ms: float) -> None:
        if status < SERVER_FAILURE:
            state.record_answered(now_ms)
        else:
            # The request may have had too little time left: a 504 counts as unanswered, not failed.
            is_late = status == GATEWAY_TIMEOUT
            state.record_failure(now_ms, Outcome.UNANSWERED if is_late else Outcome.FAILED)
        self._on_outcome(state)

    def _log_invalid_keep_alive(self, state: ServerState, connection: ServerConnection) -> None:
        if state.incarnation in self._invalid_keep_alive_logged:
            return
        self._invalid_keep_alive_logged.add(state.incarnation)
        timeout = connection.invalid_keep_alive
        log.info('server.odd_keep_alive', extra={'server_id': state.listed.id, 'timeout': timeout})

    def _record_load(self, state: ServerState, metadata: ReplyMetadata, now_ms: float) -> None:
        if metadata.load is not None:
            state.record_reported_load(*metadata.load, now_ms)
        if metadata.pace is None or state.reported_slowdown.record(metadata.pace, now_ms):
            return
        if state.incarnation not in self._invalid_load_logged:
            self._invalid_load_logged.add(state.incarnation)
            log.info(
                'server.odd_load', extra={'server_id': state.listed.id, 'pace': str(metadata.pace)}
            )


def _check_is_response_to(
    request_id: RequestId, metadata: ReplyMetadata, connection: ServerConnection
) -> None:
    """Check that a response belongs to the last request on its connection.

    :raises BrokenReplyError: if it does not; the connection is not reused.
    """
    # The first response on a connection has no earlier one that it could be a copy of.
    is_unnamed_rejection = (
        metadata.was_not_run and not metadata.request_id and connection.is_first_exchange
    )
    if metadata.request_id != request_id and not is_unnamed_rejection:
        connection.close_after_exchange()
        raise BrokenReplyError(ReplyFailureKind.MALFORMED, 'response to another request')
    if not (metadata.is_signed or metadata.was_not_run):
        connection.close_after_exchange()
        raise BrokenReplyError(ReplyFailureKind.MALFORMED, 'response without a signature')
