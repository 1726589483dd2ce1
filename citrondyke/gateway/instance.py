"""Assembly, start and stop of a gateway instance."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from citrondyke.decisions.accounts.steward_rate_limiter import StewardRateLimiter
from citrondyke.decisions.batch.takeover import InstanceLiveness
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
from citrondyke.decisions.forwarding.admission_rule import AdmissionRule
from citrondyke.decisions.forwarding.load_notices import LoadNotices
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.startup_hold import StartupHold
from citrondyke.decisions.memory.byte_budget import budget_for
from citrondyke.gateway.accounts.limit_exchange import LimitExchange
from citrondyke.gateway.callers.admission_controller import AdmissionController
from citrondyke.gateway.callers.caller_frontend import CallerFrontend
from citrondyke.gateway.callers.error_responder import ErrorResponder
from citrondyke.gateway.callers.forwarder import Forwarder
from citrondyke.gateway.callers.request_log import RequestLog
from citrondyke.gateway.callers.startup_gate import StartupGate
from citrondyke.gateway.callers.status_endpoint import StatusEndpoint
from citrondyke.gateway.gauges import add_gauges
from citrondyke.gateway.graceful_shutdown import GracefulShutdown
from citrondyke.gateway.jobs.batch_subsystem import BatchCollaborators, BatchSubsystem
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.operator_state import OperatorState
from citrondyke.gateway.peers.evidence_exchange import EvidenceExchange
from citrondyke.gateway.peers.load_exchange import LoadExchange
from citrondyke.gateway.peers.membership import Membership
from citrondyke.gateway.peers.peer_traffic import PeerTraffic
from citrondyke.gateway.peers.peers import Peers
from citrondyke.gateway.peers.relayed_table import RelayedTable
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.replication.followers import follow_instances, follow_replicated_state
from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
from citrondyke.gateway.replication.replicated_state import ReplicatedState
from citrondyke.gateway.servers.health_log import HealthLog
from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
from citrondyke.gateway.servers.server_sends import ServerSends
from citrondyke.gateway.servers.suspect_store import SuspectStore
from citrondyke.gateway.streams.origin_exchange import OriginExchange
from citrondyke.gateway.tasks import Tasks
from citrondyke.util.clock import SystemClock
from citrondyke.util.early_sockets import BACKLOG, EarlySockets

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.peers.relayed_table import StoreAnswer, StoreCall
    from citrondyke.gateway.platform_adapters import PlatformAdapters
    from citrondyke.gateway.settings import Address, GatewaySettings
    from citrondyke.util.start_steps import StartSteps

__all__ = ('GatewayInstance',)

log = logbook.Logger(__name__)

#: Servers whose rows expired during an outage are removed within this time; 2 s are allowed.
UPDATE_EVERY_S = 0.25


class GatewayInstance:
    """Gateway instance; it runs until a stop is requested."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapters: PlatformAdapters,
        began_ms: float | None = None,
        sockets: EarlySockets | None = None,
        steps: StartSteps | None = None,
    ) -> None:
        """Create the parts; connections are accepted from ``start`` on.

        :param began_ms: start of its process by the fence clock, if the instance has a process of
            its own.
        :param sockets: sockets that listen already; taken over with their pending connections.
        :param steps: recorder of the process's startup steps.
        """
        self._sockets = EarlySockets(()) if sockets is None else sockets
        self._steps = steps
        self._settings = settings
        self._adapters = adapters
        self.clock = SystemClock()
        self.context = Context(settings.instance_id, settings.zone, self.clock, random.Random())
        self.metrics = Metrics()
        self._tasks = Tasks(self.clock)
        self.book = ServerRegistry(self.context)
        self.store = Dependency(self.clock, 'store')
        self._evidence = EvidenceExchange(self.context, self.book)
        health_log = HealthLog(self.metrics)
        self.book.health_policy.on_change = health_log.changed
        self.book.health_policy.on_probe = health_log.probe_started
        self._sends = ServerSends(
            self.clock, adapters.dialect, self._on_load_change, self._evidence.record_outcome
        )
        store_clock = StoreClock(self.context)
        self._table = table = RelayedTable(
            self.clock, adapters.table, self._relay, self.store, store_clock, self._tasks
        )
        self.suspects = SuspectRegistry(self.context)
        self.suspect_store = SuspectStore(
            self.context, table, self.store, self.suspects, self._store_interval_factor
        )
        self.guard = PoisonRequestGuard(
            self.context,
            self.book,
            self.suspects,
            self.suspect_store,
            self.metrics,
            self._tasks,
        )
        self.replicated = ReplicatedState(
            self.context,
            adapters.decoder,
            self.book,
            self.store,
            settings.lapsed_grace_ms,
            self._on_server_gone,
            self._on_incarnation_ended,
        )
        self._live = InstanceLiveness(self.context)
        incarnation = f'{self.context.random.getrandbits(64):016x}'
        self.membership = Membership(
            self.context,
            incarnation,
            (settings.ip, settings.peer_port),
            table,
            self._live,
            self.book.topology.replace,
        )
        limits = StewardRateLimiter(
            self.context,
            self.membership.all_instances,
            self.replicated.config.find_account,
            settings.limit_tolerance,
            began_ms,
        )
        self.limits = LimitExchange(
            self.context,
            limits,
            self.replicated.config,
            self.membership,
            self.metrics,
            settings.peer_port,
            self._tasks,
            table,
        )
        self.budget = budget_for(settings.memory_bytes)
        self.refresher = ReplicaRefresher(
            self.context, self.metrics, self._store_interval_factor, self._tasks
        )
        self.origins = OriginExchange(
            self.context,
            self.book,
            self.replicated.config,
            self.store,
            table,
            lambda: self.membership.is_known,
            self.refresher,
            self.metrics,
            self._tasks,
        )
        request_log = RequestLog(self.context, self.metrics)
        responder = ErrorResponder(adapters.dialect)
        admission = AdmissionController(
            self.context,
            self.book,
            AdmissionRule(self.context, self.book),
            self.replicated.config,
            self.limits,
            responder,
            request_log,
            self.origins,
        )
        forwarder = Forwarder(
            self.context,
            admission,
            self._sends,
            self.guard,
            adapters.dialect,
            responder,
            request_log,
            self.replicated.config,
            self.budget,
            self.origins,
            self.refresher,
        )
        batch_collaborators = BatchCollaborators(
            self.context,
            table,
            store_clock,
            self.replicated,
            self.book,
            self._sends,
            self.guard,
            self.membership,
            self._live,
            self.metrics,
            self._store_interval_factor,
            self.refresher,
            self._tasks,
        )
        self.batch = BatchSubsystem(batch_collaborators, incarnation, settings, adapters)
        self._loads = LoadExchange(
            LoadNotices(self.context, self.book),
            self.book.topology,
            self.batch.runner.preempt_items,
        )
        self.peers = Peers(
            self.context,
            settings.peer_port,
            settings.seed_ips,
            self.membership,
            self.replicated,
            self.store,
            self.suspects,
            self._loads.on_message,
            self.batch.committer.check_job,
            self.guard.on_message,
            self.batch.apply_peer_demand,
            self._evidence.on_message,
            self.origins,
            adapters.table,
            PeerTraffic(self.context, self.metrics),
            self._live,
            self.metrics,
            self._store_interval_factor,
            self._batch_window_ms,
            self._tasks,
        )
        self.book.on_choose(self.peers.receive_pending)
        self.batch.use_peers(self.peers.receive_pending, self.peers.send)
        self.jobs = self.batch.make_endpoint(self.peers.notify_job_changed)
        self.gate = StartupGate(
            self.context,
            StartupHold(self.context),
            lambda: self.replicated.is_complete,
            steps,
            {
                'configuration': lambda: self.replicated.config.table.version > 0,
                'servers': lambda: self.replicated.has_servers,
                'peers': lambda: self.membership.is_known,
                'lease': lambda: bool(self.limits.held_slots()),
            },
        )
        self.frontend = CallerFrontend(
            self.context,
            self.replicated,
            adapters.dialect,
            forwarder,
            self.batch.acceptor,
            self.jobs,
            self.metrics,
            self.gate,
            settings.connections_limit,
            self.budget,
            self.refresher,
        )
        self._pages = StatusEndpoint(self.clock, lambda: self.is_ready, self.metrics)
        state = OperatorState(
            settings.instance_id, self.replicated.config, limits, self.suspects, self.metrics
        )
        self._operator_pages = StatusEndpoint(
            self.clock, lambda: self.is_ready, self.metrics, state.page
        )
        self._servers: list[StreamServer] = []
        add_gauges(self)
        self.metrics.add_gauge('task_failures_total', lambda: float(self._tasks.failures.count))
        self._stopping = Event()

    def start(self) -> None:
        """Listen and start following the store."""
        settings = self._settings
        self._listen(settings.callers.ip, settings.callers.port, self.frontend.on_connection)
        self._listen(settings.health.ip, settings.health.port, self._pages.on_connection)
        if settings.metrics_port:
            port = settings.metrics_port
            self._listen(settings.ip, port, self._operator_pages.on_connection)
        self._sockets.close()
        readers = self.peers.list_read_delegation
        config_follower, servers_follower = follow_replicated_state(
            self.context,
            self._adapters,
            self.replicated,
            self.store,
            self._store_interval_factor,
            readers.config_delegation,
            readers,
        )
        readers.start(config_follower, servers_follower)
        self.refresher.start(config_follower, servers_follower, readers)
        for follower in (config_follower, servers_follower):
            follower.start(self._tasks)
        follow_instances(
            self.context, self._table, self.membership, self._store_interval_factor, self._tasks
        )
        self.peers.start(settings.ip)
        self.limits.start(settings.ip)
        self._loads.start(self._tasks, self.peers.send)
        self._evidence.start(self._tasks, self.peers.send)
        self.guard.start(self.peers.send)
        self.origins.start(self.peers.send, self.peers.ask_origin)
        self.membership.start(self._tasks)
        self.batch.start()
        self._tasks.supervise(self._run_periodic_updates)
        self._tasks.spawn(self.gate.run)
        if self._steps is not None:
            self._steps.record('started')
        self._tasks.supervise(lambda: self._adapters.traffic.run(self.metrics))
        log.info(
            'instance.started',
            extra={
                'callers': settings.callers.port,
                'peers': settings.peer_port,
                **self._start_detail(),
            },
        )

    @property
    def address(self) -> Address:
        """Address for callers."""
        return self._settings.callers

    def stop_abruptly(self) -> None:
        """Stop without notice to peers and callers, as a killed process does."""
        self._tasks.end()
        self.peers.stop()
        self.limits.stop()
        for server in self._servers:
            server.stop(timeout=0)
        self.frontend.abort_all()

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; a change of the addresses to listen on needs a restart."""
        before = msgspec.structs.asdict(self._settings)
        changed = [
            name
            for name, value in msgspec.structs.asdict(settings).items()
            if value != before[name]
        ]
        self._settings = settings
        self.peers.seed_ips = settings.seed_ips
        self._adapters.move_store(settings.store.address)
        log.info('instance.reloaded', extra={'changed': changed})

    def run_until_stopped(self) -> None:
        """Serve until a graceful shutdown is requested, and run it."""
        self._stopping.wait()
        stop = GracefulShutdown(
            self.clock, self.frontend, self._servers[0], self._transfer_ownership
        )
        stop.run(self._settings.stop_within_ms)

    def _transfer_ownership(self, until_ms: float) -> None:
        # Peers must learn that this instance leaves, whatever became of its jobs.
        transfer = self.batch.transfer_ownership
        self._tasks.failures.attempt(transfer.__qualname__, transfer, until_ms)
        self.membership.leave()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self.replicated.is_complete and not self._stopping.is_set()

    def _listen(self, ip: str, port: int, handle: Callable[[socket.socket, object], None]) -> None:
        early = self._sockets.take(ip, port)
        if early is None:
            server = StreamServer((ip, port), handle, backlog=BACKLOG)
        else:
            server = StreamServer(socket.socket(fileno=early), handle)
        server.start()
        self._servers.append(server)

    def _start_detail(self) -> dict[str, object]:
        if self._steps is None:
            return {}
        return {'steps_ms': dict(self._steps.done_ms)}

    def _run_periodic_updates(self) -> None:
        while True:
            started_ms = self.context.now_ms()
            gevent.sleep(UPDATE_EVERY_S)
            self.refresher.observe()
            late_ms = self.context.now_ms() - started_ms - UPDATE_EVERY_S * 1e3
            self.frontend.record_lateness(late_ms)
            # One failure must not stop the others: without the election, for example, a zone would
            # keep a reader that is gone.
            for update in (
                self._update_timeouts,
                self._update_servers,
                self.origins.update,
                self.peers.list_read_delegation.update_role,
            ):
                self._tasks.failures.attempt(update.__qualname__, update)

    def _update_timeouts(self) -> None:
        self._live.timeout_factor = self._store_interval_factor()

    def _update_servers(self) -> None:
        self.replicated.reconcile('grace')
        self.replicated.update_freshness(self._store_interval_factor())

    def _store_interval_factor(self) -> float:
        return self.book.topology.store_interval_factor

    def _batch_window_ms(self) -> float:
        return self.book.topology.coalesce_ms(is_owner=bool(self.batch.owned.by_id))

    def _relay(self, call: StoreCall) -> StoreAnswer:
        return self.peers.relay(call)

    def _on_server_gone(self, state: ServerState) -> None:
        for call in (self._sends.close_idle, self.guard.record_removed):
            self._tasks.failures.attempt(call.__qualname__, call, state)

    def _on_incarnation_ended(self, state: ServerState) -> None:
        # The guard comes first, so that it attributes the aborted requests to that incarnation.
        for call in (self.guard.record_incarnation_ended, self._sends.abort_incarnation):
            self._tasks.failures.attempt(call.__qualname__, call, state)

    def _on_load_change(self, state: ServerState) -> None:
        """Publish the load, and preempt batch items on a server with online requests."""
        self._loads.mark_changed()
        self._evidence.record_outcome(state)
        if state.own.batch and state.own.online:
            self.batch.runner.preempt_items()
