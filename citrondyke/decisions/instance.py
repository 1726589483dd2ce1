"""Assembles the decision components of one instance, for any driver to host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.at_most_once.group_committer import GroupCommitter
from citrondyke.decisions.at_most_once.once_executor import OnceExecutor
from citrondyke.decisions.at_most_once.transaction_rate_limiter import TransactionRateLimiter
from citrondyke.decisions.audit.journal import AuditJournal
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.config_replica import ConfigReplica
from citrondyke.decisions.core.ops import (
    SendPeer,
    Spawn,
    pull_config,
    read_lists,
    sleep_until,
    wait_for,
)
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.crashes.engine_crash_guard import EngineCrashGuard
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.jobs.acceptance import JobAcceptance
from citrondyke.decisions.jobs.segment_claimer import SegmentClaimer
from citrondyke.decisions.jobs.sweeper import Sweeper
from citrondyke.decisions.jobs.worker import Worker, WorkerLimits
from citrondyke.decisions.membership.lease_watch import LeaseWatch
from citrondyke.decisions.membership.members import Members
from citrondyke.decisions.membership.peer_messages import (
    Ack,
    ConfigPush,
    JobStopped,
    OnlineNotice,
    Ping,
    ServerState,
    SuspectNotice,
)
from citrondyke.decisions.membership.session_lease import SessionLease
from citrondyke.decisions.notices import OnlineLoadNotices
from citrondyke.decisions.online.admission import Admission
from citrondyke.decisions.online.fleet import Fleet
from citrondyke.decisions.online.online_dispatcher import OnlineDispatcher
from citrondyke.decisions.online.router import Router
from citrondyke.decisions.steward import SERVICE_PREFIX, Steward, StewardTimings
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.configuration.config_replica import ProposalResult
    from citrondyke.decisions.configuration.proposal import ConfigProposal
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.jobs.job_request import JobResult
    from citrondyke.decisions.membership.peer_messages import PeerMessage
    from citrondyke.decisions.online.server_view import ServerView
    from citrondyke.decisions.sharing.server_share import ServerShare
    from citrondyke.ids import (
        ConfigVersion,
        InstanceId,
        JobId,
        RequestId,
        TargetName,
        TenantId,
    )

__all__ = ('Instance',)

#: Longest gap between two polls of a lease row, as a share of the lease time. Over a longer gap an
#: unchanged counter does not prove that the lease expired.
MAX_POLL_GAP_SHARE = 0.75
#: Pause between two configuration pulls from peers.
PULL_PAUSE_MS = 200.0


class Instance:
    """The decision components of one instance, without any I/O."""

    def __init__(
        self,
        context: Context,
        limits: InstanceLimits,
        new_share: Callable[[ServerView], ServerShare] | None = None,
    ) -> None:
        """Create the components; nothing runs before ``run``.

        :param new_share: creates the batch share of a server; benchmarks pass a baseline here.
        """
        self.context = context
        self.limits = limits
        self.config_replica = ConfigReplica(context, limits.config_poll_every_ms)
        self.members = Members(context)
        self.session = SessionLease(context, limits.lease_renew_every_ms, limits.lease_ms)
        self.journal = AuditJournal(
            context, self.session, limits.evidence_every_ms, limits.evidence_records_limit
        )
        self.leases = LeaseWatch(limits.lease_ms, limits.lease_ms * MAX_POLL_GAP_SHARE)
        self.fleet = Fleet(limits.first_online_limit)
        self.router = Router(context, self.fleet)
        self.admission = Admission(context, self.fleet, limits.waiting_limit)
        self.steward = Steward(
            context,
            self.fleet,
            self.members,
            self.config_replica,
            _steward_timings(limits),
            on_preempt=self._preempt,
            on_free_capacity=self._wake,
            new_share=new_share,
        )
        self.notices = OnlineLoadNotices(context, self.fleet, self.steward)
        self.crashes = EngineCrashGuard(context, lambda: [peer.id for peer in self.members.peers()])
        self.online = OnlineDispatcher(
            context, self.router, self.admission, self.notices.on_load_change, self.crashes
        )
        rate_limiter = TransactionRateLimiter(
            limits.fleet_intent_transactions_per_s, lambda: len(self.members.live())
        )
        self.committer = GroupCommitter(context, rate_limiter)
        self.once = OnceExecutor(context, self.session, self.committer, self.leases, self.online)
        self.acceptance = JobAcceptance(
            context, lambda: self.config_replica.current, self.journal.add
        )
        self.sweeper = Sweeper(context, self.acceptance, self.journal.add)
        self.worker = self._new_worker(context, limits)
        self._lists_read: Signal[None] = Signal()
        self._members_revision = -1
        self._running_targets: set[TargetName] = set()
        self._pull_from: InstanceId | None = None
        self._pull_requested: Signal[None] = Signal()

    @property
    def is_ready(self) -> bool:
        """Return whether the configuration and the platform's lists have been read."""
        return self.config_replica.is_loaded and self._lists_read.is_fired

    def run(self) -> Workflow[None]:
        """Start the background workflows of the instance."""
        yield Spawn(self.config_replica.run(), is_essential=True)
        yield Spawn(self.session.run(), is_essential=True)
        yield Spawn(self.committer.run(), is_essential=True)
        yield Spawn(self.notices.run(), is_essential=True)
        yield Spawn(self._follow_lists(), is_essential=True)
        yield Spawn(self._gossip(), is_essential=True)
        yield Spawn(self._pull_configs(), is_essential=True)
        yield Spawn(self.journal.run(), is_essential=True)
        yield Spawn(self._run_batch_work(), is_essential=True)

    def is_repeatable(self, target: TargetName) -> bool:
        """Return whether a target's requests are repeatable; an unknown service's are not."""
        if not target.startswith(SERVICE_PREFIX):
            return True
        service = self.config_replica.current.service_entry(target[len(SERVICE_PREFIX) :])
        return service is not None and service.is_repeatable

    def propose(self, proposal: ConfigProposal, who: str) -> Workflow[ProposalResult]:
        """Accept a configuration change and push it to every peer before returning."""
        result = yield from self.config_replica.propose(proposal, who)
        if isinstance(result, ConfigChange):
            for peer in self.members.peers():
                yield SendPeer(peer.id, ConfigPush(result))
        return result

    def cancel_job(self, tenant_id: TenantId | None, job_id: JobId) -> Workflow[JobResult]:
        """Cancel a job in the table service, on this instance and on every peer."""
        result = yield from self.acceptance.cancel(tenant_id, job_id)
        self.worker.stop_job(job_id)
        for peer in self.members.peers():
            yield SendPeer(peer.id, JobStopped(job_id))
        yield Spawn(self.sweeper.sweep(job_id))
        return result

    def on_peer_version(self, sender: InstanceId, version: ConfigVersion) -> None:
        """Record a peer's configuration version and pull a newer one from that peer."""
        if version > self.config_replica.current.version and self.config_replica.is_loaded:
            self._pull_from = sender
            self._pull_requested.fire(None)

    def on_peer_message(self, sender: InstanceId, message: PeerMessage) -> PeerMessage | None:
        """Handle a peer's message and return the reply to send, if any."""
        match message:
            case Ping():
                return self.members.on_ping(sender, message)
            case Ack():
                self.members.on_ack(sender, message)
            case OnlineNotice():
                return self.steward.on_notice(sender, message)
            case ServerState():
                self.notices.on_state(message)
            case ConfigPush():
                # Before the log is read there is no version that the change could follow.
                if self.config_replica.is_loaded:
                    self.config_replica.merge_changes([message.change])
            case JobStopped():
                self.worker.stop_job(message.job_id)
            case SuspectNotice():
                self.crashes.on_notice(message)
        return None

    def leave(self, until_ms: float) -> Workflow[None]:
        """Stop accepting batch work and release held segments; calls are still served."""
        self.members.leave()
        for peer in self.members.peers():
            ping = self.members.leaving_ping()
            yield SendPeer(peer.id, ping)
        yield from self.worker.drain(until_ms)

    def finish(self, until_ms: float) -> Workflow[None]:
        """Seal the last audit records and release the lease, once no call is in flight.

        If the lease were released earlier, other instances would take this one for dead and close
        its running at-most-once requests as unknown, although their replies still arrive.
        """
        while not (yield from self.journal.seal()) and self.context.now_ms() < until_ms:
            pass
        yield from self.session.release()

    def _new_worker(self, context: Context, limits: InstanceLimits) -> Worker:
        claimer = SegmentClaimer(
            context,
            self.session,
            self.leases,
            self.sweeper,
            self.is_repeatable,
            lambda key: self.worker.holds(key),  # noqa: PLW0108  (the worker is created later)
        )
        worker_limits = WorkerLimits(
            part_every_ms=limits.part_every_ms,
            held_limit=limits.held_segments_limit,
            poll_every_ms=limits.shortest_look_ms,
        )
        return Worker(context, claimer, self.sweeper, self.steward, worker_limits, self.crashes)

    def _preempt(self, request_ids: list[RequestId]) -> None:
        self.worker.preempt(request_ids)

    def _wake(self, target: TargetName) -> None:
        self.worker.wake(target)

    def _follow_lists(self) -> Workflow[None]:
        """Poll the platform's lists; while they are unavailable, the last ones stay in force."""
        while True:
            snapshot = yield from read_lists()
            if not isinstance(snapshot, PlatformFailure):
                self.members.update_list(snapshot.instances)
                changed = self.fleet.update_list(snapshot.servers)
                yield from self._refresh_stewardship(is_forced=changed)
                self._lists_read.fire(None)
            yield from self._pause(self.limits.lists_poll_every_ms)

    def _gossip(self) -> Workflow[None]:
        while True:
            ping = self.members.next_ping()
            if ping is not None:
                yield SendPeer(*ping)
            yield from self._refresh_stewardship(is_forced=False)
            yield from self._pause(self.limits.gossip_every_ms)

    def _refresh_stewardship(self, *, is_forced: bool) -> Workflow[None]:
        """Recompute stewardship and start watching newly assigned servers."""
        if not is_forced and self.members.revision == self._members_revision:
            return
        self._members_revision = self.members.revision
        for server_id in self.steward.refresh():
            yield Spawn(self.steward.watch(server_id))
        for target in self._running_targets:
            self.worker.wake(target)
        if self.session.began.is_fired:
            yield from self._start_targets()

    def _run_batch_work(self) -> Workflow[None]:
        """Start batch work once there is a session under which segments can be claimed."""
        yield from wait_for(self.session.began, None)
        yield from wait_for(self._lists_read, None)
        yield Spawn(self.worker.poll_jobs())
        yield from self._start_targets()

    def _start_targets(self) -> Workflow[None]:
        for target in self.steward.targets():
            if target not in self._running_targets and not self.members.is_leaving:
                self._running_targets.add(target)
                yield Spawn(self._run_target(target))

    def _run_target(self, target: TargetName) -> Workflow[None]:
        yield from self.worker.run_target(target)
        self._running_targets.discard(target)
        # The servers may have returned while the last items were finishing.
        yield from self._start_targets()

    def _pull_configs(self) -> Workflow[None]:
        while True:
            yield from wait_for(self._pull_requested, None)
            self._pull_requested = Signal()
            if self._pull_from is not None:
                changes = yield from pull_config(
                    self._pull_from, self.config_replica.current.version
                )
                self.config_replica.merge_changes(changes)
            yield from self._pause(PULL_PAUSE_MS)

    def _pause(self, pause_ms: float) -> Workflow[None]:
        yield from sleep_until(self.context.now_ms() + self.context.jittered_ms(pause_ms))


def _steward_timings(limits: InstanceLimits) -> StewardTimings:
    return StewardTimings(
        poll_every_ms=limits.load_poll_every_ms,
        poll_timeout_ms=limits.load_poll_timeout_ms,
        fleet_polls_per_s=limits.fleet_looks_per_s,
        min_poll_interval_ms=limits.shortest_look_ms,
    )
