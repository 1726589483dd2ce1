"""Client of an HTTP service with pooled connections and a timeout for each call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.servers.connection_pool import ConnectionPool
from citrondyke.gateway.servers.server_connection import open_connection

if TYPE_CHECKING:
    from citrondyke.gateway.http_head import Headers
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.util.clock import Clock

__all__ = ('HttpAnswer', 'HttpClient', 'HttpFailure', 'HttpFailureReason')

log = logbook.Logger(__name__)

IDLE_LIMIT = 8
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
CONNECT_MS = 400.0


class HttpAnswer(msgspec.Struct, frozen=True):
    """A whole response."""

    status: int
    body: bytes
    #: Whether the end of the response is told apart from the end of the connection.
    is_framed: bool = True


class HttpFailureReason(msgspec.Struct, frozen=True):
    """Reason why a call failed."""

    kind: ReplyFailureKind
    detail: str


class HttpFailure(msgspec.Struct, frozen=True):
    """Result of a call without a response; it is false in a condition."""

    reason: HttpFailureReason

    def __bool__(self) -> bool:
        """Return ``False``, since there is no response."""
        return False


class HttpClient:
    """Client of one address."""

    def __init__(self, clock: Clock, ip: str, port: int, source_ip: str = '') -> None:
        """Connect on the first call.

        :param source_ip: address to connect from; empty for any.
        """
        self._source_ip = source_ip
        self._clock = clock
        self._ip = ip
        self._port = port
        self._name = f'{ip}:{port}'
        self._has_logged_keep_alive = False
        self._pool: ConnectionPool[str] = ConnectionPool(clock, IDLE_LIMIT)

    def move(self, ip: str, port: int) -> None:
        """Use another address for the following calls."""
        if (ip, port) == (self._ip, self._port):
            return
        self._pool.drop(self._name)
        self._ip, self._port = ip, port
        self._name = f'{ip}:{port}'

    def call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout_ms: float,
        transfer_ms: float = 0.0,
    ) -> HttpAnswer | HttpFailure:
        """Make one call.

        A connection that failed in any way is closed and replaced by a new one, since nothing more
        arrives on a connection on which a response was lost.

        :param transfer_ms: time that a large response may take beyond the timeout, as long as its
            bytes go on arriving.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        name = self._name
        connection = None
        try:
            connection = self._connection(timeout_ms)
            all_headers = [
                (b'Host', name.encode()),
                (b'Content-Length', str(len(body)).encode()),
                *headers,
            ]
            connection.send(method.encode(), target.encode(), all_headers, body)
            head = connection.read_head(until_ms)
            self._log_invalid_keep_alive(connection)
            content = self._read_content(connection, until_ms, timeout_ms, transfer_ms)
        except BrokenReplyError as error:
            if connection is not None:
                connection.close()
            return HttpFailure(HttpFailureReason(error.failure_kind, error.message))
        except BaseException:
            # The calling greenlet was killed during the call: bytes that still arrive on this
            # connection belong to no call.
            if connection is not None:
                connection.close()
            raise
        is_framed = connection.is_framed
        self._pool.release(name, connection)
        return HttpAnswer(head.status, content, is_framed)

    def _read_content(
        self, connection: ServerConnection, until_ms: float, timeout_ms: float, transfer_ms: float
    ) -> bytes:
        latest_ms = until_ms + transfer_ms
        parts: list[bytes] = []
        size = 0
        while (chunk := connection.read_chunk(until_ms)) is not None:
            parts.append(chunk)
            size += len(chunk)
            if size > ANSWER_LIMIT_BYTES:
                detail = f'body: over {ANSWER_LIMIT_BYTES} bytes'
                raise BrokenReplyError(ReplyFailureKind.OVERSIZED, detail)
            until_ms = max(until_ms, min(latest_ms, self._clock.now_ms() + timeout_ms))
        return b''.join(parts)

    def _log_invalid_keep_alive(self, connection: ServerConnection) -> None:
        if not connection.invalid_keep_alive or self._has_logged_keep_alive:
            return
        self._has_logged_keep_alive = True
        timeout = connection.invalid_keep_alive
        log.info('store.odd_keep_alive', extra={'address': self._name, 'timeout': timeout})

    def _connection(self, timeout_ms: float) -> ServerConnection:
        kept = self._pool.acquire(self._name)
        if kept is not None:
            return kept
        connect_ms = min(timeout_ms, CONNECT_MS)
        return open_connection(self._clock, self._ip, self._port, connect_ms, self._source_ip)
