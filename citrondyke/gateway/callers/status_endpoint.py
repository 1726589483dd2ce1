"""Endpoint for health checks, metrics and the operator's state page, on a port of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.gateway.sockets import tune
from citrondyke.util.time_slice import TimeSlice

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket

    from citrondyke.gateway.metrics import Metrics
    from citrondyke.util.clock import Clock

__all__ = ('StatusEndpoint',)

READ_S = 5.0
HEAD_LIMIT_BYTES = 8_192


class StatusEndpoint:
    """Serves ``/metrics`` and ``/state``; any other path gets the instance's readiness."""

    def __init__(
        self,
        clock: Clock,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        state: Callable[[], bytes] | None = None,
    ) -> None:
        """Use the parts handed in.

        :param state: returns the state page for operators; ``None`` on a port that is not reserved
            for operators.
        """
        self._clock = clock
        self._is_ready = is_ready
        self._metrics = metrics
        self._state = state

    def on_connection(self, sock: socket.socket, _: object) -> None:
        """Respond to requests until the other end closes."""
        try:
            tune(sock)
            sock.settimeout(READ_S)
            data = b''
            time_slice = TimeSlice(self._clock)
            while True:
                more = sock.recv(HEAD_LIMIT_BYTES)
                if not more:
                    return
                data += more
                while b'\r\n\r\n' in data:
                    time_slice.pause_if_over()
                    head, _, data = data.partition(b'\r\n\r\n')
                    sock.sendall(self._answer(head))
                if len(data) > HEAD_LIMIT_BYTES:
                    return
        except OSError:
            # The load balancer may close at any time; it checks again on a new connection.
            return
        finally:
            sock.close()

    def _answer(self, head: bytes) -> bytes:
        path = head.split(b' ')[1] if head.count(b' ') else b''
        if path.startswith(b'/metrics'):
            return _page(b'200 OK', self._metrics.text().encode())
        if path == b'/state' and self._state is not None:
            return _page(b'200 OK', self._state())
        return _page(b'200 OK' if self._is_ready() else b'503 Service Unavailable', b'')


def _page(status: bytes, body: bytes) -> bytes:
    return b'HTTP/1.1 %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )
