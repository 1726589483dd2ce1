"""HTTP stand-in for a plain service, which counts its runs."""

from __future__ import annotations

import bottle
import gevent
import msgspec

from citrondyke.standin.abortable_server import abort_connection
from citrondyke.standin.engine_app import LoadReport
from citrondyke.standin.engine_faults import BackendFaults

__all__ = ('ServiceApp', 'service_app')


class ServiceApp:
    """Runs each request as often as it is sent."""

    def __init__(self, run_ms: float) -> None:
        """Create a service without any runs.

        :param run_ms: duration of one run.
        """
        self.faults = BackendFaults()
        self._run_ms = run_ms
        self._running = 0
        self._runs: dict[str, int] = {}

    def serve(self, path: str) -> bytes:
        """Run one request."""
        request = bottle.request
        bottle.response.content_type = 'application/json'
        if self.faults.refuse_left > 0:
            self.faults.refuse_left -= 1
            bottle.response.status = 503
            return b'{"error": "refused"}'
        body = request.body.read()
        key = request.headers.get('Idempotency-Key') or body.decode(errors='replace')
        self._running += 1
        try:
            gevent.sleep((self._run_ms + self.faults.slow_ms) / 1e3)
            self._runs[key] = self._runs.get(key, 0) + 1
        finally:
            self._running -= 1
        if self.faults.cut_before_answer_left > 0:
            self.faults.cut_before_answer_left -= 1
            abort_connection(request.environ)
        answer = {'path': path, 'method': request.method, 'key': key, 'run': self._runs[key]}
        return msgspec.json.encode(answer)

    def load(self) -> bytes:
        """Answer ``GET /load``."""
        return msgspec.json.encode(
            LoadReport(self._running, 0, 64, is_leaving=self.faults.is_leaving)
        )

    def runs(self) -> bytes:
        """Answer ``GET /control/runs``: the number of runs of each key."""
        return msgspec.json.encode(self._runs)

    def set_faults(self) -> bytes:
        """Answer ``PUT /control/faults``."""
        self.faults = msgspec.json.decode(bottle.request.body.read(), type=BackendFaults)
        return b'{}'


def service_app(run_ms: float = 5.0) -> tuple[bottle.Bottle, ServiceApp]:
    """Create the stand-in and its WSGI application."""
    service = ServiceApp(run_ms)
    app = bottle.Bottle()
    app.get('/load', callback=service.load)
    app.get('/control/runs', callback=service.runs)
    app.put('/control/faults', callback=service.set_faults)
    app.route(
        '/<path:path>', method=['GET', 'POST', 'PUT', 'PATCH', 'DELETE'], callback=service.serve
    )
    return app, service
