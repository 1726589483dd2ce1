"""A WSGI server whose applications can cut their caller's connection."""

from __future__ import annotations

import socket
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

__all__ = ('abort_connection', 'make_server')

SOCKET_KEY = 'citrondyke.socket'


class _SocketExposingHandler(WSGIHandler):
    """Hands the connection's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        """Add the socket to the request's environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def log_error(self, msg: str, *args: Any) -> None:
        """Keep quiet: cut connections are what these servers are for."""


class _NoDelayServer(WSGIServer):
    """Sends each token at once."""

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def abort_connection(environ: dict[str, Any]) -> None:
    """Close the caller's connection with no answer."""
    try:
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def make_server(ip: str, port: int, app: Any) -> WSGIServer:
    """Make a server without a request log."""
    return _NoDelayServer(
        (ip, port), app, handler_class=_SocketExposingHandler, log=None, error_log=None
    )
