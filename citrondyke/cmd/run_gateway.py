"""Runs a gateway instance as a process."""

from __future__ import annotations

import faulthandler
import os
import signal
import sys
from typing import TYPE_CHECKING

# Pins the event loop to libev over epoll, so that no later gevent version switches to io_uring.
os.environ.setdefault('GEVENT_LOOP', 'libev-cext')
os.environ.setdefault('GEVENT_BACKEND', 'epoll')
# All addresses are numeric, so no thread pool is needed to resolve names.
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

#: Port of the metrics endpoint that the deployment file declares.
METRICS_PORT = 9_464
EXIT_SETTINGS = 2


def run_gateway(sockets: EarlySockets, steps: StartSteps, began_ms: float) -> int:
    """Run one instance until SIGTERM.

    :param sockets: sockets that are already listening.
    :param steps: records the times of the steps of the start.
    :param began_ms: start of the process, by the fence clock.
    """
    try:
        settings = load_platform_settings(METRICS_PORT)
    except SettingsInvalidError as error:
        print(f'citrondyke gateway: {error.message}', file=sys.stderr)
        return EXIT_SETTINGS
    steps.record('settings')
    # Prints the Python stack to standard error if an extension module crashes.
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
