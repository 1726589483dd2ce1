"""The batch subsystem of an instance: construction, start and stop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import msgspec

from citrondyke.decisions.batch.batch_scheduler import BatchScheduler
from citrondyke.decisions.batch.job_clock import JobClock
from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.gateway.jobs.backlog_limiter import BacklogLimiter
from citrondyke.gateway.jobs.job_acceptor import JobAcceptor
from citrondyke.gateway.jobs.job_claimer import JobClaimer
from citrondyke.gateway.jobs.job_committer import JobCommitter
from citrondyke.gateway.jobs.job_endpoint import JobEndpoint
from citrondyke.gateway.jobs.job_reader import JobReader
from citrondyke.gateway.jobs.job_removal import JobRemoval
from citrondyke.gateway.jobs.job_runner import JobRunner
from citrondyke.gateway.jobs.job_store import JobStore
from citrondyke.gateway.jobs.job_sweeper import JobSweeper
from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
from citrondyke.gateway.jobs.token_shares import TokenShares
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.peers.membership import Membership
from citrondyke.gateway.peers.peer_codec import BatchNeeds
from citrondyke.gateway.replication.fleet_queries import FleetQueries
from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
from citrondyke.gateway.replication.replicated_state import ReplicatedState
from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
from citrondyke.gateway.servers.server_sends import ServerSends
from citrondyke.gateway.tasks import Tasks
from citrondyke.storage.partitioned_table import PartitionedTable

if TYPE_CHECKING:
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.platform_adapters import PlatformAdapters
    from citrondyke.gateway.settings import GatewaySettings
    from citrondyke.ids import InstanceId, JobId

__all__ = ('BatchCollaborators', 'BatchSubsystem')

#: Fraction of the memory that the items of an instance may occupy before it accepts and claims no
#: further jobs. Items are in memory twice while they are packed.
ITEMS_MEMORY_SHARE = 0.15


class BatchCollaborators(msgspec.Struct, frozen=True):
    """Components of an instance that the batch subsystem uses."""

    context: Context
    table: PartitionedTable
    store_clock: StoreClock
    replicated: ReplicatedState
    book: ServerRegistry
    sends: ServerSends
    guard: PoisonRequestGuard
    membership: Membership
    live: InstanceLiveness
    metrics: Metrics
    #: Returns the factor by which store calls are rarer than in a small fleet.
    store_interval_factor: Callable[[], float]
    refresher: ReplicaRefresher
    tasks: Tasks


class BatchSubsystem:
    """Accepts batch jobs, runs their items, and stores and serves the results."""

    def __init__(
        self,
        collaborators: BatchCollaborators,
        incarnation: str,
        settings: GatewaySettings,
        adapters: PlatformAdapters,
    ) -> None:
        """Create the components.

        :param incarnation: identifies the current incarnation of this instance.
        """
        self._collaborators = collaborators
        self._adapters = adapters
        context, tasks = collaborators.context, collaborators.tasks
        self.store = JobStore(collaborators.table, adapters.objects, settings.store.row_bytes)
        job_clock = JobClock(context, collaborators.store_clock)
        self._reader = JobReader(context, self.store)
        self.owned = OwnedJobs()
        self.committer = JobCommitter(
            context, self.owned, self.store, tasks, self._reader.cache_finished
        )
        start_limiter = StartRateLimiter(context, collaborators.book.topology)
        self._demand = start_limiter.demand
        self.runner = JobRunner(
            context,
            job_clock,
            collaborators.replicated,
            BatchScheduler(context, collaborators.book, start_limiter),
            start_limiter.demand,
            collaborators.sends,
            collaborators.guard,
            adapters.dialect,
            self.owned,
            self.committer,
            collaborators.metrics,
            collaborators.refresher,
            tasks,
        )
        self._sweeper = JobSweeper(
            context,
            job_clock,
            self.store,
            JobRemoval(collaborators.table, adapters.objects),
            collaborators.live,
            settings.job_kept_ms,
        )
        items_limit_bytes = settings.memory_bytes * ITEMS_MEMORY_SHARE
        self.claimer = JobClaimer(
            context,
            incarnation,
            collaborators.table,
            self.store,
            self.owned,
            self.runner,
            TakeoverSchedule(context, incarnation, collaborators.live),
            ReadBudget(context, settings.store.reads_per_s, lambda: collaborators.live.count),
            collaborators.store_interval_factor,
            tasks,
            items_limit_bytes,
        )
        self.backlog_limiter = BacklogLimiter(
            context,
            incarnation,
            TokenShares(collaborators.table, incarnation),
            self.owned,
            FleetQueries(
                self.claimer.open_heads,
                self._dead_for_ms,
                lambda: [beat.life for beat in collaborators.membership.peers.values()],
            ),
            lambda: collaborators.replicated.config.table,
            settings.tokens_overshoot,
        )
        self.owned.on_job_taken_over(self.backlog_limiter.record_taken_over)
        self.acceptor = JobAcceptor(
            context,
            job_clock,
            incarnation,
            adapters.dialect,
            self.store,
            self.owned,
            self.runner,
            self._reader,
            self.backlog_limiter,
            items_limit_bytes,
        )

    def make_endpoint(self, notify_owner: Callable[[JobId, InstanceId], None]) -> JobEndpoint:
        """Return the endpoint that answers requests about jobs.

        :param notify_owner: notifies a job's owner that its head changed.
        """
        collaborators = self._collaborators
        return JobEndpoint(
            collaborators.context,
            self._adapters.dialect,
            self.store,
            self.owned,
            self._reader,
            notify_owner,
        )

    def use_peers(
        self, apply_updates: Callable[[], None], send: Callable[[PeerText, list[InstanceId]], None]
    ) -> None:
        """Publish the demand of this instance to peers.

        :param apply_updates: applies the pending messages of peers.
        :param send: sends a datagram to the given peers.
        """
        topology = self._collaborators.book.topology
        self.runner.use_peers(
            apply_updates, lambda needs: send(BatchNeeds(needs), topology.mesh_peers())
        )

    def apply_peer_demand(self, sender: InstanceId, text: BatchNeeds) -> None:
        """Apply the demand that a peer published."""
        self._demand.record_peer_demand(sender, text.needs)

    def start(self) -> None:
        """Start following the open jobs and running items."""
        collaborators = self._collaborators
        self.runner.start()
        self.committer.start()
        self.claimer.start()
        self.backlog_limiter.start(collaborators.tasks, collaborators.store_interval_factor)
        self._sweeper.start(collaborators.tasks)

    def transfer_ownership(self, until_ms: float) -> None:
        """Release the ownership of all jobs before a planned stop."""
        self.owned.is_stopping = True
        shutting_down = gevent.spawn(self.backlog_limiter.shutdown)
        # Lets the limiter count the backlog before the jobs are released.
        gevent.sleep(0)
        self.runner.transfer_ownership(until_ms)
        shutting_down.join(max(0.0, (until_ms - self._collaborators.context.now_ms()) / 1e3))

    def _dead_for_ms(
        self, owner: InstanceId, incarnation: str, version: int, since_ms: float
    ) -> float | None:
        # Until the open jobs are listed, the jobs of a dead incarnation can't be counted by their
        # heads, so no incarnation counts as dead.
        if not self.claimer.is_listed:
            return None
        return self._collaborators.live.dead_for_ms(owner, incarnation, version, since_ms)
