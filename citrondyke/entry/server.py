"""The HTTP server of the endpoints."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from citrondyke.entry.responses import error_body
from citrondyke.errors import TooManyConnectionsError
from citrondyke.util.clock import SystemClock
from citrondyke.util.paced_socket import PacedSocket
from citrondyke.util.reset_on_close import set_reset_on_close

if TYPE_CHECKING:
    import bottle

__all__ = ('EntryServer', 'end_with_connection', 'entry_server', 'prepare_connection')

RETRY_MS = 1000.0
#: A connection without incoming data for this long is closed, also before its first request.
IDLE_TIMEOUT_S = 75.0
#: How long the rest of a body is discarded after its response; then the connection is closed.
DISCARD_MS = 200.0
#: Key of the environment of a request whose response ends with its connection.
UNFRAMED_KEY = 'citrondyke.ends_with_connection'
FRAMING_HEADERS = (b'content-length', b'transfer-encoding')


class _RequestHandler(WSGIHandler):
    """Counts requests and writes no log; the endpoints log requests with more detail."""

    response_headers: Any
    socket: Any

    def __init__(self, sock: socket.socket, address: Any, server: EntryServer) -> None:
        """Read the requests of a connection in turns with other greenlets."""
        self._clock = SystemClock()
        self._paced = PacedSocket(self._clock, sock)
        super().__init__(sock, address, server, self._paced.makefile())

    def handle_one_response(self) -> None:
        """Count a request as open until the last byte of its response is sent."""
        self.server.open_requests += 1
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests -= 1
            if self._clock.now_ms() >= self._paced.until_ms:
                self.close_connection = True
            self._paced.until_ms = float('inf')

    def run_application(self) -> None:
        """Respond; what is left of the request's body is discarded for a limited time."""
        try:
            super().run_application()
            if self.environ.get(UNFRAMED_KEY):
                set_reset_on_close(self.socket, is_on=False)
        finally:
            self._paced.until_ms = self._clock.now_ms() + DISCARD_MS

    def finalize_headers(self) -> None:
        """Complete the head of the response, without a frame where the server had none."""
        super().finalize_headers()
        if self.environ.get(UNFRAMED_KEY):
            self.response_use_chunked = False
            self.close_connection = True
            # Otherwise a part would look whole if this process ended while it sends the response.
            set_reset_on_close(self.socket, is_on=True)
            self.response_headers = [
                pair for pair in self.response_headers if pair[0].lower() not in FRAMING_HEADERS
            ]

    def log_request(self) -> None:
        """Do nothing; the endpoints log requests."""

    def log_error(self, msg: str, *args: Any) -> None:
        """Do nothing: a caller that closes its connection is not an error of the server."""

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection of a caller that disconnected or timed out."""
        if isinstance(v, OSError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


class EntryServer(WSGIServer):
    """Serves a limited number of connections and rejects further ones at once."""

    connections_limit = 0

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server without connections."""
        super().__init__(*args, **kwargs)
        self.open_connections = 0
        #: Requests in progress; a graceful shutdown waits for them.
        self.open_requests = 0
        self.refused_connections = 0

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve a connection, or reject it above the limit.

        Without a limit, idle connections would exhaust the memory of the instance and all its
        requests would fail. Without a response, callers above the limit would wait in the
        kernel's queue and could not distinguish this from a slow response.
        """
        if self.open_connections >= self.connections_limit:
            self.refused_connections += 1
            _reject(sock)
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
    """Create the server.

    :param tls: arguments for TLS, empty for plain HTTP.
    """
    server = EntryServer(
        (ip, port), app, handler_class=_RequestHandler, log=None, error_log=None, **tls
    )
    server.connections_limit = connections_limit
    return server


def end_with_connection(environ: dict[str, Any]) -> None:
    """Have the response to a request end with its connection, without a length or chunks.

    A length would claim that the server's whole answer has come, which the server did not state.
    """
    environ[UNFRAMED_KEY] = True


def prepare_connection(sock: socket.socket) -> None:
    """Set the socket options of a caller's connection.

    Without ``TCP_NODELAY``, the kernel holds each token until the caller has acknowledged the
    previous one. Callers delay acknowledgements by about 40 ms, so that a stream with a token
    every 4 ms would arrive in bursts of ten.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(IDLE_TIMEOUT_S)


def _reject(sock: socket.socket) -> None:
    body = msgspec.json.encode(error_body(TooManyConnectionsError(retry_in_ms=RETRY_MS)))
    head = (
        'HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nRetry-After: 1\r\nConnection: close\r\n\r\n'
    )
    try:
        sock.sendall(head.encode() + body)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return
