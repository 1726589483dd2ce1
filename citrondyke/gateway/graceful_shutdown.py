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
#: Part of the time until the process is killed that is reserved for its last steps: ending the
#: requests in progress, closing their connections and flushing the log.
STOP_MARGIN_MS = 600.0
#: Time for the last responses and for closing their connections.
LAST_ANSWERS_MS = 350.0
POLL_S = 0.02
#: Time in which ownership of jobs is transferred at a stop; other instances take over the remaining
#: jobs later.
TRANSFER_MS = 4_000.0


class GracefulShutdown:
    """Stops the service without aborting requests.

    First the health check fails. Requests that the load balancer still sends are served, and each
    response closes its connection. Then new connections are refused and idle ones are closed, so
    that callers turn to other instances at once, and requests in progress end. A request that is
    read only then is rejected if it is not idempotent and its deadline is later than the end of the
    process. Whatever is left at that end is answered with an error.
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
        self._close_listener()
        # The connections that were just accepted count as open once their greenlets have begun.
        gevent.sleep(0)
        self._frontend.reject_after(end_ms)
        log.info('instance.draining', extra={'open_connections': self._frontend.open_count})
        self._wait_for_connections(end_ms)
        handing_over.join(max(0.0, (end_ms - self._clock.now_ms()) / 1e3))
        cut_count = self._frontend.busy_count
        self._frontend.end_requests()
        self._wait_for_connections(self._clock.now_ms() + LAST_ANSWERS_MS)
        log.info('instance.stopped', extra={'cut_requests': cut_count})

    def _close_listener(self) -> None:
        """Accept the connections that wait, and refuse further ones.

        The kernel goes on completing connections for a socket that is only not accepted from any
        more: their callers would wait until the process exits.
        """
        self._listener.stop_accepting()
        try:
            while (accepted := self._listener.do_read()) is not None:
                self._listener.do_handle(*accepted)
        except OSError as error:
            log.info('listener.not_drained', extra={'detail': type(error).__name__})
        self._listener.close()

    def _wait_for_connections(self, until_ms: float) -> None:
        """Wait until all connections are closed; a response is delivered only by then.

        Those that become idle are closed. The exit of the process would reset a connection with
        unread bytes, and a reset can overtake the response before it.
        """
        while self._frontend.open_count and self._clock.now_ms() < until_ms:
            self._frontend.close_idle()
            gevent.sleep(POLL_S)
