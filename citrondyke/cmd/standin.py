"""``citrondyke-standin``: runs one stand-in for the platform or a backend server."""

from __future__ import annotations

from typing import Any

from cyclopts import App

from citrondyke.cmd import patch  # noqa: F401  (first: it patches the standard library)
from citrondyke.standin.abortable_server import make_server
from citrondyke.standin.engine_app import engine_app
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.standin.platform_app import platform_app
from citrondyke.standin.service_app import service_app
from citrondyke.util.clock import SystemClock

__all__ = ('app', 'main')

app = App(
    name='citrondyke-standin',
    help='Run a stand-in for tests, benchmarks and trying out citrondyke.',
)


@app.command
def platform(*, port: int, ip: str = '127.0.0.1') -> None:
    """Run a stand-in for the table service, the object store and the fleet lists."""
    _serve(ip, port, platform_app(SystemClock())[0])


@app.command
def engine(
    *,
    port: int,
    ip: str = '127.0.0.1',
    model: str = 'demo-model',
    base_ms: float = 4.0,
    knee_streams: int = 32,
    steep_rise_ms: float = 0.25,
    max_running: int = 128,
    load_lag_ms: float = 100.0,
) -> None:
    """Run a stand-in for a continuous-batching inference engine."""
    curve = EngineCurve(
        base_ms=base_ms,
        knee_streams=knee_streams,
        steep_rise_ms=steep_rise_ms,
        max_running=max_running,
    )
    _serve(ip, port, engine_app(model, curve, SystemClock(), load_lag_ms)[0])


@app.command
def service(*, port: int, ip: str = '127.0.0.1', run_ms: float = 5.0) -> None:
    """Run a stand-in for a plain service, which counts its runs by request."""
    _serve(ip, port, service_app(run_ms)[0])


def _serve(ip: str, port: int, wsgi_app: Any) -> None:
    server = make_server(ip, port, wsgi_app)
    server.start()
    print(f'ready on {ip}:{port}', flush=True)
    server.serve_forever()


def main() -> None:
    """Run the program."""
    app()


if __name__ == '__main__':
    main()
