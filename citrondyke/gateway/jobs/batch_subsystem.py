"""The batch side of an instance: its parts put together, started and stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import msgspec

from citrondyke.decisions.batch.batch_scheduler import BatchScheduler
from citrondyke.decisions.batch.read_budget import ReadBudget
from citrondyke.decisions.batch.start_rate_limiter import StartRateLimiter
from citrondyke.decisions.batch.takeover import InstanceLiveness, TakeoverSchedule
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.gateway.jobs.backlog_tokens import BacklogTokens
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


class BatchCollaborators(msgspec.Struct, frozen=True):
    """The parts of an instance that its batch side works with."""

    context: Context
    table: PartitionedTable
    replicated: ReplicatedState
    book: ServerRegistry
    sends: ServerSends
    guard: PoisonRequestGuard
    membership: Membership
    live: InstanceLiveness
    metrics: Metrics
    #: Gives the factor by which calls of the store are rarer than in a small fleet.
    pace: Callable[[], float]
    tasks: Tasks


class BatchSubsystem:
    """Takes jobs in, runs their items, keeps and shows what comes of them."""

    def __init__(
        self,
        around: BatchCollaborators,
        life: str,
        settings: GatewaySettings,
        adapters: PlatformAdapters,
    ) -> None:
        """Put the parts together.

        :param life: names this life of this instance.
        """
        self._around = around
        self._adapters = adapters
        context, tasks = around.context, around.tasks
        self.store = JobStore(around.table, adapters.objects, settings.store.row_bytes)
        self._reader = JobReader(context, self.store)
        self.owned = OwnedJobs()
        self.committer = JobCommitter(context, self.owned, self.store, tasks, self._reader.adopt)
        pace = StartRateLimiter(context, around.book.topology)
        self._needs = pace.demand
        self.runner = JobRunner(
            context,
            around.replicated,
            BatchScheduler(context, around.book, pace),
            pace.demand,
            around.sends,
            around.guard,
            adapters.dialect,
            self.owned,
            self.committer,
            around.metrics,
            tasks,
        )
        self._sweeper = JobSweeper(
            context,
            self.store,
            JobRemoval(around.table, adapters.objects),
            around.live,
            settings.job_kept_ms,
        )
        self.keeper = JobClaimer(
            context,
            life,
            around.table,
            self.store,
            self.owned,
            self.runner,
            TakeoverSchedule(context, life, around.live),
            ReadBudget(context, settings.store.reads_per_s, lambda: around.live.count),
            around.pace,
            tasks,
        )
        self.waiting = BacklogTokens(
            context,
            life,
            TokenShares(around.table, life),
            self.owned,
            FleetQueries(
                self.keeper.open_heads,
                self._gone_for_ms,
                lambda: [beat.life for beat in around.membership.peers.values()],
            ),
            lambda: around.replicated.config.table,
            settings.tokens_overshoot,
        )
        self.owned.on_job_taken_over(self.waiting.note_taken_over)
        self.intake = JobAcceptor(
            context,
            life,
            adapters.dialect,
            self.store,
            self.owned,
            self.runner,
            self._reader,
            self.waiting,
            settings.memory_bytes,
        )

    def door(self, tell_owner: Callable[[JobId, InstanceId], None]) -> JobEndpoint:
        """Make the part that answers questions about jobs.

        :param tell_owner: tells a job's owner that its head changed.
        """
        around = self._around
        return JobEndpoint(
            around.context,
            self._adapters.dialect,
            self.store,
            self.owned,
            self._reader,
            tell_owner,
        )

    def use_peers(
        self, look: Callable[[], None], send: Callable[[PeerText, list[InstanceId]], None]
    ) -> None:
        """Tell the neighbours what waits here.

        :param look: takes in what peers have told.
        :param send: sends a datagram to some peers.
        """
        neighbours = self._around.book.topology
        self.runner.use_peers(look, lambda needs: send(BatchNeeds(needs), neighbours.mesh_peers()))

    def take_needs(self, sender: InstanceId, text: BatchNeeds) -> None:
        """Take in what waits at a peer."""
        self._needs.record_peer_demand(sender, text.needs)

    def start(self) -> None:
        """Begin to follow the jobs and to run items."""
        around = self._around
        self.runner.start()
        self.committer.start()
        self.keeper.start()
        self.waiting.start(around.tasks, around.pace)
        self._sweeper.start(around.tasks)

    def hand_over(self, until_ms: float) -> None:
        """Give all jobs back before a planned stop."""
        self.owned.is_stopping = True
        leaving = gevent.spawn(self.waiting.leave)
        # What waits is counted before the jobs are given back.
        gevent.sleep(0)
        self.runner.hand_over(until_ms)
        leaving.join(max(0.0, (until_ms - self._around.context.now_ms()) / 1e3))

    def _gone_for_ms(
        self, owner: InstanceId, life: str, version: int, since_ms: float
    ) -> float | None:
        # Before the open jobs are known, what a life that is gone has left cannot be counted by
        # its jobs.
        if not self.keeper.is_listed:
            return None
        return self._around.live.dead_for_ms(owner, life, version, since_ms)
