"""A WSGI server whose applications can abort the connection of a caller."""

from __future__ import annotations

import socket
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

__all__ = ('abort_connection', 'make_server')

SOCKET_KEY = 'citrondyke.socket'


class _SocketExposingHandler(WSGIHandler):
    """Passes the socket of the connection to the application."""

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the environment of the request."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def log_error(self, msg: str, *args: Any) -> None:
        """Log nothing, because aborted connections are expected here."""


class _NoDelayServer(WSGIServer):
    """Sends each token without delay."""

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def abort_connection(environ: dict[str, Any]) -> None:
    """Shut down the connection of the caller without completing the answer."""
    try:
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def make_server(ip: str, port: int, app: Any) -> WSGIServer:
    """Create a server without request and error logs."""
    return _NoDelayServer(
        (ip, port), app, handler_class=_SocketExposingHandler, log=None, error_log=None
    )
