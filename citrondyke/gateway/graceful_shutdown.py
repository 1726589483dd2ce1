"""Graceful shutdown of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.server import StreamServer

    from citrondyke.gateway.callers.caller_frontend import CallerFrontend
    from citrondyke.util.clock import Clock

__all__ = ('GracefulShutdown',)

log = logbook.Logger(__name__)

#: The load balancer checks once a second and stops sending after two failed checks; the last
#: successful one may have been just before SIGTERM.
BALANCER_MS = 2_700.0
#: Part of the time until the process is killed that is reserved for its last steps.
STOP_MARGIN_MS = 600.0
POLL_S = 0.02
#: Time in which ownership of jobs is transferred at a stop; other instances take over the remaining
#: jobs later.
TRANSFER_MS = 4_000.0


class GracefulShutdown:
    """Stops the service without aborting requests.

    First the health check fails. Requests that the load balancer still sends are served, and each
    response closes its connection. Idle connections are closed last.
    """

    def __init__(
        self,
        clock: Clock,
        frontend: CallerFrontend,
        listener: StreamServer,
        transfer_ownership: Callable[[float], None],
    ) -> None:
        """Use the parts handed in.

        :param listener: accepts the callers' connections.
        :param transfer_ownership: transfers the ownership of jobs until a deadline.
        """
        self._clock = clock
        self._frontend = frontend
        self._listener = listener
        self._transfer_ownership = transfer_ownership

    def run(self, within_ms: float) -> None:
        """Run the shutdown.

        :param within_ms: time from now until the process is killed.
        """
        started_ms = self._clock.now_ms()
        end_ms = started_ms + within_ms - STOP_MARGIN_MS
        log.info('instance.stopping', extra={'open_connections': self._frontend.open_count})
        self._frontend.is_stopping = True
        handing_over = gevent.spawn(self._transfer_ownership, started_ms + TRANSFER_MS)
        while self._clock.now_ms() < min(started_ms + BALANCER_MS, end_ms):
            gevent.sleep(POLL_S)
        self._listener.stop_accepting()
        while self._frontend.busy_count and self._clock.now_ms() < end_ms:
            gevent.sleep(POLL_S)
        handing_over.join(max(0.0, (end_ms - self._clock.now_ms()) / 1e3))
        self._frontend.close_idle()
        log.info('instance.stopped', extra={'cut_requests': self._frontend.busy_count})
