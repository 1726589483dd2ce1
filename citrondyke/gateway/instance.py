"""One gateway instance as a process: its parts put together, started and stopped."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event
from gevent.server import StreamServer

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
from citrondyke.decisions.forwarding.server_book import ServerBook
from citrondyke.gateway.beliefs import Beliefs
from citrondyke.gateway.dependency import Dependency
from citrondyke.gateway.forwarder import Forwarder
from citrondyke.gateway.front import Front
from citrondyke.gateway.job_door import JobDoor
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.server_sends import ServerSends
from citrondyke.gateway.small_pages import SmallPages
from citrondyke.gateway.table_follower import TableFollower
from citrondyke.util.clock import SystemClock

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.outside import Outside
    from citrondyke.gateway.settings import GatewaySettings

__all__ = ('GatewayInstance',)

log = logbook.Logger(__name__)

#: New connections that wait to be accepted; beyond it their first packet is dropped and comes
#: again after a second.
BACKLOG = 1_024
SETTLE_EVERY_S = 0.1
#: After SIGTERM the balancer looks once a second and needs two misses; it may look just before.
BALANCER_MS = 2_700.0
#: Of the time until the process is killed, left for its last steps.
STOP_MARGIN_MS = 600.0
LOOK_S = 0.02


class GatewayInstance:
    """Runs until it is told to stop."""

    def __init__(self, settings: GatewaySettings, outside: Outside) -> None:
        """Put the parts together; nothing listens before ``start``."""
        self._settings = settings
        self._outside = outside
        self.clock = SystemClock()
        self.context = Context(
            settings.instance_id, settings.zone, self.clock, random.Random()
        )
        self.metrics = Metrics()
        self.book = ServerBook(self.context)
        self._store = Dependency(self.clock, 'store')
        self._sends = ServerSends(self.clock, outside.dialect, self._on_load_change)
        self.beliefs = Beliefs(
            self.context,
            outside.decoder,
            self.book,
            self._store,
            settings.lapsed_grace_ms,
            self._sends.pool.drop,
        )
        forwarder = Forwarder(
            self.context,
            self.book,
            AdmissionRule(self.context),
            self._sends,
            outside.dialect,
            self.metrics,
        )
        self.jobs = JobDoor(outside.dialect)
        self.front = Front(
            self.clock,
            self.beliefs,
            outside.dialect,
            forwarder,
            self.jobs,
            self.metrics,
            settings.connections_limit,
        )
        self._pages = SmallPages(self._is_ready, self.metrics)
        self._servers: list[StreamServer] = []
        self._stopping = Event()

    def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self._settings
        self._listen(settings.callers.ip, settings.callers.port, self.front.on_connection)
        self._listen(settings.health.ip, settings.health.port, self._pages.on_connection)
        if settings.metrics_port:
            self._listen(settings.ip, settings.metrics_port, self._pages.on_connection)
        self._follower(
            self._outside.config_table,
            self.beliefs.on_config_rows,
            self.beliefs.on_config_listing,
        )
        self._follower(
            self._outside.servers_table,
            self.beliefs.on_server_rows,
            self.beliefs.on_server_listing,
        )
        gevent.spawn(self._run_settle)
        log.info(
            'instance.started',
            extra={'callers': settings.callers.port, 'peers': settings.peer_port},
        )

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    def run_until_stopped(self) -> None:
        """Serve until a planned stop is asked for, then stop without cutting a request off.

        The health check says no first; what the balancer still sends is served, each answer
        closes its connection, and connections on which nothing was asked end last.
        """
        self._stopping.wait()
        started_ms = self.clock.now_ms()
        end_ms = started_ms + self._settings.stop_within_ms - STOP_MARGIN_MS
        log.info('instance.stopping', extra={'open_connections': self.front.open_count})
        self.front.is_stopping = True
        while self.clock.now_ms() < min(started_ms + BALANCER_MS, end_ms):
            gevent.sleep(LOOK_S)
        for server in self._servers[:1]:
            server.stop_accepting()
        while self.front.busy_count and self.clock.now_ms() < end_ms:
            gevent.sleep(LOOK_S)
        self.front.close_idle()
        log.info('instance.stopped', extra={'cut_requests': self.front.busy_count})

    def _is_ready(self) -> bool:
        return self.beliefs.is_complete and not self._stopping.is_set()

    def _listen(self, ip: str, port: int, handle: object) -> None:
        server = StreamServer((ip, port), handle, backlog=BACKLOG)
        server.start()
        self._servers.append(server)

    def _follower(self, name: str, on_rows: object, on_listing: object) -> None:
        TableFollower(
            self.context,
            self._outside.table,
            name,
            self._store,
            on_rows,  # type: ignore[arg-type]
            on_listing,  # type: ignore[arg-type]
        ).start()

    def _run_settle(self) -> None:
        while True:
            gevent.sleep(SETTLE_EVERY_S)
            self.beliefs.settle('grace')

    def _on_load_change(self, state: ServerState) -> None:
        """Tell peers."""
