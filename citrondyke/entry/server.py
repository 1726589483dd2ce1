"""The HTTP server in front of the doors."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from citrondyke.entry.responses import error_body
from citrondyke.errors import TooManyConnectionsError

if TYPE_CHECKING:
    import bottle

__all__ = ('EntryServer', 'entry_server', 'prepare_connection')

CONNECTIONS_RETRY_MS = 1000.0
#: A connection on which nothing arrives for so long is closed, also before its first request.
IDLE_S = 75.0


class _RequestHandler(WSGIHandler):
    """Leaves the request log to the doors, which know more."""

    def handle_one_response(self) -> None:
        """Count a request from its head to the last byte of its answer."""
        self.server.open_requests += 1
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests -= 1

    def log_request(self) -> None:
        """Log nothing here."""

    def log_error(self, msg: str, *args: Any) -> None:
        """Log nothing here: a caller that cuts its connection is no error of ours."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection of a caller that is gone or too slow."""
        if isinstance(v, OSError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class EntryServer(WSGIServer):
    """Answers up to a number of connections, and turns more away at once."""

    connections_limit = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Start with no connection open."""
        super().__init__(*args, **kwargs)
        self.open_connections = 0
        #: Requests under way; a planned stop waits for them.
        self.open_requests = 0
        self.refused_connections = 0

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection, or refuse it.

        Without a bound, connections that do nothing use up memory until the instance dies with
        all its calls; without an answer, callers beyond the bound wait in the kernel's queue
        and cannot tell that from a slow answer.
        """
        if self.open_connections >= self.connections_limit:
            self.refused_connections += 1
            _refuse(sock)
            return
        self.open_connections += 1
        try:
            prepare_connection(sock)
            super().handle(sock, address)
        finally:
            self.open_connections -= 1


def entry_server(
    ip: str, port: int, app: bottle.Bottle, connections_limit: int, tls: dict[str, Any]
) -> EntryServer:
    """Make the server.

    :param tls: arguments for TLS, empty for plain HTTP.
    """
    server = EntryServer(
        (ip, port), app, handler_class=_RequestHandler, log=None, error_log=None, **tls
    )
    server.connections_limit = connections_limit
    return server


def prepare_connection(sock: socket.socket) -> None:
    """Set a caller's connection up.

    Without ``TCP_NODELAY`` the kernel holds each token back until the caller has confirmed the
    one before, which callers put off for some 40 ms: a stream of tokens every 4 ms arrives in
    jerks of ten.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(IDLE_S)


def _refuse(sock: socket.socket) -> None:
    body = msgspec.json.encode(
        error_body(TooManyConnectionsError(retry_in_ms=CONNECTIONS_RETRY_MS))
    )
    head = (
        'HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nRetry-After: 1\r\nConnection: close\r\n\r\n'
    )
    try:
        sock.sendall(head.encode() + body)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
