"""Daemon process of one instance, composed of decisions, driver and endpoints."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
import logbook
from gevent.event import Event

from citrondyke.backend.client import BackendClient
from citrondyke.backend.connections import IdleConnections
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.instance import Instance
from citrondyke.driver.gevent_driver import GeventDriver
from citrondyke.entry.app import entry_app
from citrondyke.entry.entry_context import EntryContext
from citrondyke.entry.server import entry_server
from citrondyke.ids import AvailabilityZone, InstanceId, ServerId
from citrondyke.operator.decision_log import DecisionLog
from citrondyke.operator.request_metrics import RequestMetrics
from citrondyke.operator.statsd_reporter import StatsdReporter
from citrondyke.peer.codec import PeerCodec
from citrondyke.peer.node import PeerNode
from citrondyke.storage.http_fleet_lists import http_fleet_lists
from citrondyke.storage.http_object_store import http_object_store
from citrondyke.storage.http_table_service import http_table_service
from citrondyke.util.clock import SystemClock

if TYPE_CHECKING:
    from citrondyke.settings.model import DaemonSettings

__all__ = ('Daemon',)

log = logbook.Logger(__name__)

#: Interval of the checks whether the last requests are finished.
DRAIN_POLL_S = 0.05


class Daemon:
    """Runs one instance until a stop is requested."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Create the components; nothing listens before ``start``."""
        self._settings = settings
        self._clock = SystemClock()
        own = settings.instance
        context = Context(
            InstanceId(own.id),
            AvailabilityZone(own.zone),
            self._clock,
            random.Random(),
            DecisionLog(self._clock).record,
        )
        self.instance = Instance(context, settings.decisions)
        self._peers = PeerNode(
            PeerCodec(key.encode() for key in settings.peers.keys), own.ip, own.peer_port
        )
        self._metrics = RequestMetrics(settings.limits.tenant_histograms)
        self._driver = self._new_driver()
        self._entry_context = EntryContext(
            settings, self.instance, self._driver, self._metrics, self._clock
        )
        self._server = entry_server(
            own.ip,
            own.http_port,
            entry_app(self._entry_context),
            settings.limits.connections,
            _tls_arguments(settings),
        )
        self._stopping = Event()
        self._has_failed = False

    def start(self) -> None:
        """Start to listen and run the instance's own tasks."""
        self._peers.start(self.instance)
        self._server.start()
        self._driver.spawn(self.instance.run())
        StatsdReporter(self._settings.statsd, self._metrics, self._gauges).start()
        log.info('listening', extra={'port': self._settings.instance.http_port})

    def request_stop(self) -> None:
        """Request a planned stop; ``run_until_stopped`` returns when it is complete."""
        self._stopping.set()

    def run_until_stopped(self) -> bool:
        """Serve until a stop is requested, then drain running requests and stop.

        :returns: whether the stop was planned, rather than caused by a failure.
        """
        self._stopping.wait()
        if self._has_failed:
            return False
        self._leave()
        return True

    def _fail(self) -> None:
        self._has_failed = True
        self._stopping.set()

    def _leave(self) -> None:
        """Stop in an order that aborts no request.

        First the health check fails and peers are notified, while requests that the load balancer
        still sends are served. Then running requests and batch items finish. The lease is released
        last, so that no instance takes over this instance's work before it is down.
        """
        stop = self._settings.stop
        log.info('leaving')
        finish_ms = self._clock.now_ms() + stop.balancer_delay_ms + stop.finish_within_ms
        leaving = self._driver.spawn(self.instance.leave(finish_ms))
        gevent.sleep(stop.balancer_delay_ms / 1e3)
        self._server.close()
        while self._server.open_requests and self._clock.now_ms() < finish_ms:
            gevent.sleep(DRAIN_POLL_S)
        leaving.join(max(0.0, (finish_ms - self._clock.now_ms()) / 1e3) + 1.0)
        self._driver.run(self.instance.finish(finish_ms))
        self._server.stop(timeout=1)
        self._peers.stop()
        log.info('stopped')

    def _new_driver(self) -> GeventDriver:
        platform = self._settings.platform
        limits = self._settings.limits
        backend = BackendClient(
            IdleConnections(limits.idle_connections),
            self._clock,
            self._address_of,
            limits.answer_bytes,
        )
        return GeventDriver(
            self._clock,
            http_table_service(platform.table_url, platform.timeout_ms),
            http_object_store(platform.objects_url, platform.timeout_ms),
            http_fleet_lists(platform.lists_url, platform.timeout_ms),
            backend,
            self._peers,
            self._fail,
        )

    def _address_of(self, server_id: ServerId) -> tuple[str, int] | None:
        view = self.instance.fleet.view(server_id)
        return None if view is None else (view.listed.ip, view.listed.port)

    def _gauges(self) -> dict[str, float]:
        return {
            'open_calls': self._entry_context.open_calls,
            'open_connections': self._server.open_connections,
            'refused_connections': self._server.refused_connections,
            'held_segments': self.instance.worker.held_count,
            'config_version': self.instance.config_replica.current.version,
            'peer_bytes_sent': self._peers.traffic.sent_bytes,
            'peer_bytes_received': self._peers.traffic.received_bytes,
            'peer_rejected': self._peers.traffic.rejected_count,
        }


def _tls_arguments(settings: DaemonSettings) -> dict[str, Any]:
    if not settings.tls.certificate_file:
        return {}
    return {'certfile': settings.tls.certificate_file, 'keyfile': settings.tls.key_file}
