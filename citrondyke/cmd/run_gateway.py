"""Runs a gateway instance as a process, from its settings to its end."""

from __future__ import annotations

import faulthandler
import os
import signal
import sys
from typing import TYPE_CHECKING

# The loop is pinned: libev over epoll, never io_uring, whatever a later library would choose.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# Addresses are numbers here, so no thread pool is needed to look names up.
os.environ.setdefault('GEVENT_RESOLVER', 'block')

import gevent

from citrondyke.errors import SettingsInvalidError
from citrondyke.gateway.event_log import EventLogHandler
from citrondyke.gateway.instance import GatewayInstance
from citrondyke.gateway.settings_watcher import SettingsWatcher
from citrondyke.platform.adapters import create_platform_adapters
from citrondyke.platform.settings_file import load_platform_settings
from citrondyke.util.clock import SystemClock

if TYPE_CHECKING:
    from citrondyke.util.early_sockets import EarlySockets
    from citrondyke.util.start_steps import StartSteps

__all__ = ('run_gateway',)

#: As the deploy file names it.
METRICS_PORT = 9_464
EXIT_SETTINGS = 2


def run_gateway(sockets: EarlySockets, steps: StartSteps, began_ms: float) -> int:
    """Run one instance until SIGTERM.

    :param sockets: those that listen already.
    :param began_ms: start of the process by the fence clock.
    """
    try:
        settings = load_platform_settings(METRICS_PORT)
    except SettingsInvalidError as error:
        print(f'citrondyke gateway: {error.message}', file=sys.stderr)
        return EXIT_SETTINGS
    steps.record('settings')
    # A crash in an extension module leaves the Python stack on standard error.
    faulthandler.enable()
    clock = SystemClock()
    handler = EventLogHandler(clock, {'instance': settings.instance_id})
    handler.push_application()
    handler.start()
    environment = create_platform_adapters(clock, settings)
    instance = GatewayInstance(settings, environment, began_ms, sockets, steps)
    steps.record('made')
    gevent.signal_handler(signal.SIGTERM, instance.request_stop)
    gevent.signal_handler(signal.SIGINT, instance.request_stop)
    watch = SettingsWatcher(lambda: load_platform_settings(METRICS_PORT), settings, instance.reload)
    gevent.signal_handler(signal.SIGHUP, watch.reload_if_changed)
    watch.start()
    instance.start()
    instance.run_until_stopped()
    handler.flush()
    return 0
