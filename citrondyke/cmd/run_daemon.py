"""Runs an instance with the product's own HTTP interface as a process."""

from __future__ import annotations

import signal

import gevent

from citrondyke.daemon import Daemon
from citrondyke.settings import DaemonSettings
from citrondyke.util.json_log import JsonLinesHandler

__all__ = ('run_daemon',)

EXIT_FAILED = 1


def run_daemon(settings: DaemonSettings) -> int:
    """Run an instance until SIGTERM or SIGINT."""
    handler = JsonLinesHandler(
        settings.logs.level,
        {'instance': settings.instance.id, 'zone': settings.instance.zone},
    )
    with handler.applicationbound():
        daemon = Daemon(settings)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, daemon.request_stop)
        daemon.start()
        is_planned = daemon.run_until_stopped()
    return 0 if is_planned else EXIT_FAILED
