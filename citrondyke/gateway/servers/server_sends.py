"""Sends of requests to backend servers, with everything that is learned from them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.forwarding.failover_timeouts import CONNECT_TIMEOUT_MS
from citrondyke.decisions.servers.outcomes import Outcome
from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.gateway.servers.connection_pool import ConnectionPool
from citrondyke.gateway.servers.server_connection import open_connection

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
#: Statuses from here on are the server's own failure.
SERVER_FAILURE = 500
GATEWAY_TIMEOUT = 504


class OpenReply(msgspec.Struct, frozen=True):
    """A server's answer whose body is still to be read."""

    connection: ServerConnection
    head: ReplyHead
    facts: ReplyMetadata


class ServerSends:
    """Connections, counts and what answers tell of their servers."""

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        on_change: Callable[[ServerState], None],
        on_outcome: Callable[[ServerState], None],
    ) -> None:
        """Start without a connection.

        :param on_change: called when this instance's requests on a server change.
        :param on_outcome: called when a server has answered, well or not.
        """
        self._clock = clock
        self._dialect = dialect
        self._on_change = on_change
        self._on_outcome = on_outcome
        self._idle: ConnectionPool[ServerIncarnation] = ConnectionPool(clock, IDLE_PER_SERVER)
        self._in_use: dict[ServerIncarnation, set[ServerConnection]] = {}
        #: Lives that stated what cannot be a load, each logged once.
        self._invalid_load_logged: set[ServerIncarnation] = set()

    @contextmanager
    def counted(self, state: ServerState) -> Iterator[None]:
        """Count an online request on a server while it is there."""
        self.add_request(state, is_batch=False)
        try:
            yield
        finally:
            self.remove_request(state, is_batch=False)

    def add_request(self, state: ServerState, *, is_batch: bool) -> None:
        """Count one more request on a server."""
        self._count(state, 1, is_batch=is_batch)

    def remove_request(self, state: ServerState, *, is_batch: bool) -> None:
        """Count one request less on a server."""
        self._count(state, -1, is_batch=is_batch)

    def _count(self, state: ServerState, change: int, *, is_batch: bool) -> None:
        if is_batch:
            state.own.batch += change
        else:
            state.own.online += change
        self._on_change(state)

    def connect(self, state: ServerState, *, only_new: bool, until_ms: float) -> ServerConnection:
        """Take a kept connection or open one.

        :param only_new: a kept one may be stale, and what must not run twice cannot be sent again
            after a cut on it.
        :raises BrokenReplyError: of kind ``NO_CONNECTION``: nothing was sent.
        """
        connection = None if only_new else self._idle.acquire(state.incarnation)
        if connection is None:
            left_ms = min(CONNECT_TIMEOUT_MS, until_ms - self._clock.now_ms())
            listed = state.listed
            try:
                connection = open_connection(self._clock, listed.ip, listed.port, left_ms)
            except BrokenReplyError:
                state.record_unreachable(self._clock.now_ms())
                raise
        self._in_use.setdefault(state.incarnation, set()).add(connection)
        return connection

    def release(self, state: ServerState, connection: ServerConnection) -> None:
        """Keep a connection for the next request where it may be used again, else close it."""
        in_use = self._in_use.get(state.incarnation, set())
        in_use.discard(connection)
        if not in_use:
            self._in_use.pop(state.incarnation, None)
        if state.is_delisted:
            connection.close()
        else:
            self._idle.release(state.incarnation, connection)

    def close_idle(self, state: ServerState) -> None:
        """Close the idle connections to a server that is listed no more; it may still answer."""
        self._idle.drop(state.incarnation)
        self._invalid_load_logged.discard(state.incarnation)

    def abort_incarnation(self, state: ServerState) -> None:
        """Break off what is on its way to a life that is over.

        Behind a cut nothing tells the callers' side that the server has crashed: without this
        they would wait for answers that never come until their own timeouts.
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
        """Read the head of the answer to a request.

        An answer without the request's id, or a success without the server's mark, belongs to no
        request: a late second answer would otherwise reach the wrong caller.

        :raises BrokenReplyError: when none comes, or one that is not the request's.
        """
        head = connection.read_head(until_ms)
        metadata = self._dialect.reply_metadata(head)
        now_ms = self._clock.now_ms()
        self._record_load(state, metadata, now_ms)
        if metadata.is_misplaced:
            state.is_misplaced = True
        if metadata.was_not_run:
            return OpenReply(connection, head, metadata)
        if metadata.request_id != request_id:
            raise BrokenReplyError(BreakKind.MALFORMED, 'an answer to another request')
        if not metadata.is_signed:
            raise BrokenReplyError(BreakKind.MALFORMED, 'an answer without a signature')
        self._record_status(state, head.status, now_ms)
        return OpenReply(connection, head, metadata)

    def _record_status(self, state: ServerState, status: int, now_ms: float) -> None:
        if status < SERVER_FAILURE:
            state.record_answered(now_ms)
        else:
            # What ran out of time may have been given too little of it.
            is_late = status == GATEWAY_TIMEOUT
            state.record_failure(now_ms, Outcome.UNANSWERED if is_late else Outcome.FAILED)
        self._on_outcome(state)

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
