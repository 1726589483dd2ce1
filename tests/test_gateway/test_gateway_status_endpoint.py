"""Tests that a caller of the health and metrics pages does not hold an instance."""

from __future__ import annotations

import gevent

from citrondyke.gateway.callers.status_endpoint import StatusEndpoint
from citrondyke.gateway.metrics import Metrics
from citrondyke.util.clock import SystemClock

REQUESTS = b'GET /metrics HTTP/1.1\r\n\r\n' * 300


class ReadySocket:
    """A socket with more requests than are answered, until another greenlet has run."""

    def __init__(self, has_run: list[bool]) -> None:
        self._has_run = has_run

    def setsockopt(self, *_: int) -> None: ...

    def settimeout(self, _: float) -> None: ...

    def sendall(self, _: bytes) -> None: ...

    def close(self) -> None: ...

    def recv(self, _: int) -> bytes:
        return b'' if self._has_run else REQUESTS


def test_requests_sent_all_the_time_let_others_run() -> None:
    has_run: list[bool] = []
    other = gevent.spawn_later(0.001, has_run.append, True)
    endpoint = StatusEndpoint(SystemClock(), lambda: True, Metrics())
    endpoint.on_connection(ReadySocket(has_run), None)
    assert has_run
    other.join()
