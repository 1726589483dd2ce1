"""Runs the items of owned jobs on backend servers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec

from citrondyke.decisions.batch.batch_demand import CompletionLikelihood
from citrondyke.decisions.batch.batch_scheduler import RunningItem, Urgency, urgency
from citrondyke.decisions.batch.item_priority import (
    ItemPriority,
    batch_demand_of,
    count_by_likelihood,
    priority_of,
)
from citrondyke.decisions.batch.owned_job import RunResult
from citrondyke.decisions.batch.run_length import RunLengthEstimator
from citrondyke.decisions.crashes.item_probe_gate import ItemProbeGate
from citrondyke.decisions.crashes.probe_policy import owed_item_probes
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
from citrondyke.decisions.forwarding.route_table import NoRoute
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.errors.item_preempted import ItemPreemptedError
from citrondyke.gateway.jobs.item_sender import ItemSender

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.batch_demand import DemandNotice
    from citrondyke.decisions.batch.batch_demand_table import BatchDemandTable
    from citrondyke.decisions.batch.batch_scheduler import BatchScheduler
    from citrondyke.decisions.batch.job_clock import JobClock
    from citrondyke.decisions.batch.owned_job import ItemProgress, OwnedJob
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_key import SuspectKey
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.streams.stream_origin import StreamOrigin
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.jobs.job_committer import JobCommitter
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.replication.replica_refresher import ReplicaRefresher
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
    from citrondyke.gateway.servers.server_sends import ServerSends
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import ServerIncarnation, ServiceName

__all__ = ('JobRunner',)

log = logbook.Logger(__name__)

#: Interval of checking for free capacity while items are waiting.
START_EVERY_MS = 25.0
#: Interrupted runs of one item that count against the parts of its prompt.
PART_EVIDENCE_LIMIT = 2
#: Interval of counting the waiting items.
COUNT_EVERY_MS = 100.0
#: Interval of the log lines about waiting items.
LOG_EVERY_MS = 1_000.0


class _Placement(msgspec.Struct, frozen=True):
    """What the choice of a server for an item depends on."""

    service: ServiceName
    urgency: Urgency
    origin: StreamOrigin | None
    #: Servers to leave out.
    avoided: frozenset[ServerIncarnation]


class _ItemRun(msgspec.Struct, eq=False):
    job: OwnedJob
    progress: ItemProgress
    state: ServerState
    started_ms: float
    #: When its server was chosen, by the fence clock.
    chosen_ms: float
    keys: RequestKeys
    greenlet: gevent.Greenlet | None = None
    has_begun: bool = False
    is_preempted: bool = False
    #: Suspect whose probe the run is.
    probed: SuspectKey | None = None

    def preempt(self) -> None:
        """Stop the run.

        A greenlet that is killed before it has started never executes: its item would stay marked
        as running, and its capacity as used, forever. Such a run stops when it starts.
        """
        self.is_preempted = True
        if self.has_begun and self.greenlet is not None:
            self.greenlet.kill(ItemPreemptedError, block=False)


class JobRunner:
    """Starts, preempts and ends runs of the items of owned jobs."""

    def __init__(
        self,
        context: Context,
        job_clock: JobClock,
        replicated: ReplicatedState,
        scheduler: BatchScheduler,
        demand: BatchDemandTable,
        sends: ServerSends,
        guard: PoisonRequestGuard,
        dialect: Dialect,
        owned: OwnedJobs,
        committer: JobCommitter,
        metrics: Metrics,
        refresher: ReplicaRefresher,
        tasks: Tasks,
    ) -> None:
        """Initialize the runner."""
        self._refresher = refresher
        self._context = context
        self._job_clock = job_clock
        self._replicated = replicated
        self._scheduler = scheduler
        self._demand = demand
        self._last_count_ms = float('-inf')
        self._waiting: Counter[CompletionLikelihood] = Counter()
        self._last_log_ms = float('-inf')
        self._apply_updates: Callable[[], None] = _apply_nothing
        self._publish: Callable[[list[DemandNotice]], None] = _publish_nothing
        self._sends = sends
        self._guard = guard
        self._dialect = dialect
        self._owned = owned
        self._committer = committer
        self._metrics = metrics
        self._tasks = tasks
        self._sender = ItemSender(
            context,
            job_clock,
            sends,
            dialect,
            refresher,
            metrics,
            scheduler.has_servers,
            lambda: scheduler.is_fleet_large,
        )
        self._lengths = RunLengthEstimator()
        self._runs: dict[int, _ItemRun] = {}
        self._runs_count = 0
        self._probe_gate = ItemProbeGate(context)
        owned.on_ownership_lost(self._stop_items)

    def start(self) -> None:
        """Start running items."""
        self._tasks.supervise(self._run_starts)

    def use_peers(
        self, apply_updates: Callable[[], None], publish: Callable[[list[DemandNotice]], None]
    ) -> None:
        """Exchange demand with the other owners.

        :param apply_updates: applies the pending messages of peers.
        :param publish: publishes the demand of this instance to peers.
        """
        self._apply_updates, self._publish = apply_updates, publish

    def add(self, job: OwnedJob) -> None:
        """Add a job and start its items as far as capacity allows."""
        self._owned.add(job)
        self._start_items()

    def _stop_items(self, job: OwnedJob) -> None:
        for run in list(self._runs.values()):
            if run.job is job:
                run.preempt()

    def preempt_items(self) -> None:
        """Preempt items on servers that online requests overload."""
        overloaded_servers = self._scheduler.overloaded_servers(
            {run.state.incarnation for run in self._runs.values()}
        )
        if not overloaded_servers:
            return
        targets_ms = self._replicated.config.table.shortest_targets_ms
        running = [
            RunningItem(
                number,
                run.state.incarnation,
                run.started_ms,
                self._urgency(run.job, run.progress, self._job_clock.epoch_ms(run.job.head)),
                self._remaining_ms(run.job, run.progress),
                targets_ms.get(run.state.listed.service, 0.0),
            )
            for number, run in self._runs.items()
            if run.state.incarnation in overloaded_servers
        ]
        for item in self._scheduler.items_to_preempt(running):
            run = self._runs[item.number]
            self._metrics.counters['items_cut'] += 1
            self._metrics.counters[f'items_cut_{item.urgency.value}'] += 1
            log.info(
                'item.gives_way',
                extra={
                    'job_id': run.job.head.job_id,
                    'item_id': run.progress.item.id,
                    'server_id': run.state.listed.id,
                    'urgency': item.urgency.value,
                    'online_count': run.state.online_count(self._context.now_ms()),
                    'batch_count': run.state.batch_count(self._context.now_ms()),
                    'remaining_ms': round(item.remaining_ms, 1),
                },
            )
            run.preempt()

    def transfer_ownership(self, until_ms: float) -> None:
        """Release the ownership of all jobs, with their progress, before a planned stop."""
        self._owned.is_stopping = True
        for run in list(self._runs.values()):
            run.preempt()
        gevent.sleep(0)
        workers = [
            self._tasks.spawn(self._committer.release_ownership, job, until_ms)
            for job in self._owned.by_id.values()
        ]
        # The timeout of joinall() would count from the start of the event loop's iteration.
        with gevent.Timeout(max(0.0, (until_ms - self._context.now_ms()) / 1e3), False):
            gevent.joinall(workers)

    def _run_starts(self) -> None:
        while True:
            self._owned.wait_for_jobs()
            gevent.sleep(START_EVERY_MS / 1e3)
            self._run_turn()

    def _run_turn(self) -> None:
        """Preempt, count and start items; a step that raises must not keep items from starting."""
        for step in (
            self._apply_updates,
            self.preempt_items,
            self._count_waiting,
            self._start_items,
        ):
            self._tasks.failures.attempt(step.__qualname__, step)

    def _start_items(self) -> None:
        """Start items while capacity is free, in the order of their priority.

        Overdue jobs come last: capacity used for them would make another job overdue.
        """
        if self._owned.is_stopping or not self._owned.by_id:
            return
        if self._refresher.is_stale:
            # The next check starts them, or goes on with what is known.
            self._refresher.request()
            return
        now_ms = self._context.now_ms()
        waiting: list[tuple[ItemPriority, OwnedJob]] = []
        for job in self._owned.by_id.values():
            try:
                epoch_ms = self._job_clock.epoch_ms(job.head)
                job.abandon_overdue(epoch_ms)
                progress = job.next_item(now_ms)
                if progress is not None:
                    waiting.append((self._priority(job, progress, epoch_ms), job))
            except Exception:
                # One job must not keep the items of the others waiting.
                self._tasks.failures.record_failure('JobRunner.order', job_id=job.head.job_id)
        waiting.sort(key=lambda each: each[0].order)
        full: set[_Placement] = set()
        for _, job in waiting:
            start = self._start_items_of
            self._tasks.failures.attempt('JobRunner.start', start, job, now_ms, full)

    def _start_items_of(
        self,
        job: OwnedJob,
        now_ms: float,
        full: set[_Placement],
    ) -> None:
        full_origins: set[StreamOrigin] = set()
        epoch_ms = self._job_clock.epoch_ms(job.head)
        while (progress := job.next_item(now_ms, full_origins)) is not None:
            service = self._service(job, progress)
            if service is None:
                break
            urgency_now = self._urgency(job, progress, epoch_ms)
            state = self._choose_server(job, progress, service, urgency_now, full)
            if state is not None:
                self._try_begin(job, progress, state)
                continue
            if progress.end.servers_to_avoid(now_ms):
                # The others need not wait for the servers that may confirm the end of this one.
                job.postpone_confirmation(progress, now_ms)
                continue
            if progress.origin is None:
                break
            # Items that any server may run need not wait for those of this origin.
            full_origins.add(progress.origin)

    def _choose_server(
        self,
        job: OwnedJob,
        progress: ItemProgress,
        service: ServiceName,
        urgency_now: Urgency,
        full: set[_Placement],
    ) -> ServerState | None:
        """Choose the server of an item, and add to ``full`` where there is no capacity.

        An interrupted item waits for the servers that may continue it. Once it is late it begins
        anew elsewhere instead: those servers may stay full while others have capacity. An item
        whose end is in doubt waits for a bounded time for a server that has not stated the end.
        """
        avoided = progress.end.servers_to_avoid(self._context.now_ms())
        if avoided and not self._scheduler.has_servers(service, avoided, progress.origin):
            avoided = frozenset()
        origins = [progress.origin]
        if progress.origin is not None and urgency_now is Urgency.LATE and not avoided:
            origins.append(None)
        for origin in origins:
            placement = _Placement(service, urgency_now, origin, avoided)
            if placement in full:
                continue
            state = self._scheduler.choose_server(service, urgency_now, origin, avoided)
            if state is None:
                full.add(placement)
                continue
            if progress.origin is not None and not state.listed.may_continue(progress.origin):
                self._drop_events(job, progress, progress.origin)
            return state
        return None

    def _count_waiting(self) -> None:
        """Count and publish the waiting items, and observe the online load of their services."""
        now_ms = self._context.now_ms()
        is_due = now_ms - self._last_count_ms >= COUNT_EVERY_MS
        services: set[ServiceName] = set()
        priorities: dict[ServiceName, list[ItemPriority]] = {}
        for job in list(self._owned.by_id.values()):
            items = job.waiting_items(now_ms)
            service = self._service(job, items[0]) if items else None
            if service is None:
                continue
            services.add(service)
            if is_due:
                epoch_ms = self._job_clock.epoch_ms(job.head)
                found = [self._priority(job, each, epoch_ms) for each in items]
                priorities.setdefault(service, []).extend(found)
        for service in services:
            self._scheduler.observe_online_load(service)
        if not is_due:
            return
        self._last_count_ms = now_ms
        self._waiting = count_by_likelihood(each for found in priorities.values() for each in found)
        self._demand.record_own_demand(
            [batch_demand_of(service, found, now_ms) for service, found in priorities.items()]
        )
        notices = self._demand.take_due_notices()
        if notices is not None:
            self._publish(notices)
        if priorities and now_ms - self._last_log_ms >= LOG_EVERY_MS:
            self._last_log_ms = now_ms
            log.info(
                'items.wait',
                extra={
                    **{each.name.lower(): self._waiting[each] for each in CompletionLikelihood},
                    'running': len(self._runs),
                    'free_places': self.free_count(),
                    'kept_places': self.headroom_count(),
                    'refused': self._take_refusals(),
                    'other_owners': sum(len(self._demand.peer_demand(each)) for each in priorities),
                },
            )

    def waiting_count(self, likelihood: CompletionLikelihood) -> int:
        """Return the number of waiting items with a completion likelihood."""
        return self._waiting[likelihood] if self._owned.by_id else 0

    def headroom_count(self) -> int:
        """Return the capacity that is kept free for online requests."""
        return sum(self._scheduler.headroom.by_service.values()) if self._owned.by_id else 0

    def free_count(self) -> int:
        """Return the capacity that requests and items leave free, with what is kept."""
        return sum(self._scheduler.free_by_service.values()) if self._owned.by_id else 0

    def _take_refusals(self) -> dict[str, int]:
        """Return how often no server was found since the last call, by reason, and count it."""
        refusals = {each.value: count for each, count in self._scheduler.refusals.items()}
        self._scheduler.refusals.clear()
        for reason, count in refusals.items():
            self._metrics.counters[f'items_not_placed_{reason}'] += count
        return refusals

    def _priority(self, job: OwnedJob, progress: ItemProgress, epoch_ms: float) -> ItemPriority:
        slack_ms = job.head.due_epoch_ms - epoch_ms - self._remaining_ms(job, progress)
        margin_ms = self._lengths.margin_ms(job.head.route)
        return priority_of(slack_ms, margin_ms, has_begun=progress.last_event_id is not None)

    def _remaining_ms(self, job: OwnedJob, progress: ItemProgress) -> float:
        return self._lengths.remaining_ms(job.head.route, progress.events_count)

    def _urgency(self, job: OwnedJob, progress: ItemProgress, epoch_ms: float) -> Urgency:
        return urgency(job.head.due_epoch_ms, epoch_ms, self._remaining_ms(job, progress))

    def _service(self, job: OwnedJob, progress: ItemProgress) -> ServiceName | None:
        config = self._replicated.config
        route = config.table.find(job.head.host, progress.item.path)
        if not isinstance(route, NoRoute):
            return self._bound_service(job, progress, route) or route.pick_service(
                self._context.random
            )
        if config.is_confirmed(self._context.now_ms()):
            # Configuration versions only increase, so the route has been removed permanently.
            log.info(
                'item.route_gone',
                extra={
                    'job_id': job.head.job_id,
                    'item_id': progress.item.id,
                    'config_version': config.table.version,
                },
            )
            self._end(job, progress, RunResult.IMPOSSIBLE)
        return None

    def _bound_service(
        self, job: OwnedJob, progress: ItemProgress, route: Route
    ) -> ServiceName | None:
        """Return the service that must continue an item; ``None`` if any may begin it.

        An item whose events no server can continue any more begins anew: what another version
        writes does not fit to them.
        """
        origin = progress.origin
        if origin is None:
            return None
        is_named = any(share.service == origin.service for share in route.shares)
        if is_named and self._scheduler.can_continue(origin):
            return origin.service
        self._drop_events(job, progress, origin)
        return None

    def _drop_events(self, job: OwnedJob, progress: ItemProgress, origin: StreamOrigin) -> None:
        log.info(
            'item.begins_anew',
            extra={
                'job_id': job.head.job_id,
                'item_id': progress.item.id,
                'last_event_id': progress.last_event_id,
                'service': origin.service,
                'server_version': origin.version,
            },
        )
        self._metrics.counters['items_begun_anew'] += 1
        progress.drop_events()

    def _try_begin(self, job: OwnedJob, progress: ItemProgress, state: ServerState) -> None:
        """Begin a run; an item for which that raises waits, as no server has failed it."""
        try:
            self._begin(job, progress, state)
        except Exception:
            # If one item ended the loop over all jobs, no item of this instance would start again.
            self._tasks.failures.record_failure('JobRunner.begin', item_id=progress.item.id)
            self._end(job, progress, RunResult.BLOCKED)

    def _begin(self, job: OwnedJob, progress: ItemProgress, state: ServerState) -> None:
        keys = self._request_keys(job, progress)
        now_ms, chosen_ms = self._context.now_ms(), self._context.clock.fence_ms()
        run = _ItemRun(job, progress, state, now_ms, chosen_ms, keys)
        # From here on nothing raises: an item that is marked as running without a run would stay
        # open forever.
        progress.is_running = True
        # The capacity is counted at once, so that the next choice of a server includes it.
        self._sends.add_request(state, is_batch=True)
        self._metrics.counters['items_started'] += 1
        self._runs_count += 1
        number = self._runs_count
        self._runs[number] = run
        run.greenlet = self._tasks.spawn(self._run_item, number, run)

    def _request_keys(self, job: OwnedJob, progress: ItemProgress) -> RequestKeys:
        item = progress.item
        return RequestKeys(
            b'POST',
            job.head.host,
            item.path.encode('latin-1'),
            item.body,
            self._dialect.item_prompt_parts(item),
        )

    def _run_item(self, number: int, run: _ItemRun) -> None:
        job, progress, state = run.job, run.progress, run.state
        run.has_begun = True
        result = RunResult.INTERRUPTED
        detail = ''
        started_ms = self._context.now_ms()
        events_before = progress.events_count
        try:
            if run.is_preempted:
                raise ItemPreemptedError
            if self._may_send(run):
                result = self._sender.run(
                    progress,
                    job.head,
                    state,
                    run.chosen_ms,
                    lambda: self._record_answered(run),
                    lambda: self._has_exited(run),
                )
            else:
                result = RunResult.BLOCKED
        except ItemPreemptedError:
            result = RunResult.PREEMPTED
        except BrokenReplyError as error:
            detail = error.message
            self._tasks.failures.attempt('JobRunner.record_broken', self._record_broken, run, error)
        except Exception:
            # An item whose run ended without a result would stay open forever.
            log.exception('item.run_failed', extra={'item_id': progress.item.id})
            detail = 'unforeseen'
        finally:
            self._runs.pop(number, None)
            self._tasks.failures.attempt('JobRunner.remove', self._remove_request, state)
            self._probe_gate.end(run)
        took_ms = self._context.now_ms() - started_ms
        self._tasks.failures.attempt(
            'JobRunner.record_length', self._record_length, run, events_before, took_ms, result
        )
        self._metrics.counters[f'items_{result.value}'] += 1
        log.info(
            'item.run',
            extra={
                'job_id': job.head.job_id,
                'item_id': progress.item.id,
                'server_id': state.listed.id,
                'server_version': state.listed.software_version,
                'end': result.value,
                'detail': detail,
                'last_event_id': progress.last_event_id,
                'took_ms': round(took_ms, 1),
                'content': run.keys.content.digest if result is RunResult.INTERRUPTED else None,
            },
        )
        self._end(job, progress, result)
        if result is RunResult.FAILED and progress.item.id in job.open:
            self._committer.save(job, [progress])
        self._start_items()

    def _remove_request(self, state: ServerState) -> None:
        self._sends.remove_request(state, is_batch=True)

    def _record_length(
        self, run: _ItemRun, events_before: int, took_ms: float, result: RunResult
    ) -> None:
        route, events_count = run.job.head.route, run.progress.events_count
        self._lengths.record_event_interval(route, events_count - events_before, took_ms)
        if result is RunResult.COMPLETED:
            self._lengths.record_complete_run(route, events_count)

    def _record_broken(self, run: _ItemRun, error: BrokenReplyError) -> None:
        if error.failure_kind is ReplyFailureKind.NO_CONNECTION:
            self._guard.record_connect_failure(run.state, error)
        else:
            self._record_interrupted(run, error.failure_kind)

    def _may_send(self, run: _ItemRun) -> bool:
        self._guard.wait_until_known()
        head = run.job.head
        policy = owed_item_probes(head.due_epoch_ms - head.accepted_epoch_ms)
        verdict = self._guard.verdict_on(run.keys, policy)
        if verdict.status is not SuspectStatus.PROBE_DUE or verdict.key is None:
            return not verdict.is_blocked
        if not self._probe_gate.try_start(run):
            return False
        if not self._guard.claim_item_probe(verdict.key, run.progress.item.id, policy):
            return False
        run.probed = verdict.key
        return True

    def _record_answered(self, run: _ItemRun) -> None:
        self._guard.record_survived(run.keys)
        self._probe_gate.record_answered(run)

    def _has_exited(self, run: _ItemRun) -> bool:
        """Return whether the server of a run that ended with its connection has exited."""
        self._guard.record_interrupted(
            run.state, _evidence_keys(run), ReplyFailureKind.CUT, run.progress.first_event_ms
        )
        return self._guard.has_exited(run.state)

    def _record_interrupted(self, run: _ItemRun, kind: ReplyFailureKind) -> None:
        progress, state = run.progress, run.state
        state.record_failure(self._context.now_ms())
        self._probe_gate.record_failed(run)
        keys = _evidence_keys(run)
        progress.interrupted_count += 1
        # An item that is preempted while it waits here would stay open forever.
        self._guard.record_interrupted(state, keys, kind, progress.first_event_ms, may_wait=False)

    def _end(self, job: OwnedJob, progress: ItemProgress, result: RunResult) -> None:
        epoch_ms = self._job_clock.epoch_ms(job.head)
        job.end_run(progress, result, self._context.now_ms(), epoch_ms)


def _evidence_keys(run: _ItemRun) -> RequestKeys:
    """Return the keys that an interruption of a run counts against.

    All evidence against a prompt part must not come from one item, but a probe must decide.
    """
    is_probe = run.probed is not None and run.probed.is_part
    is_early = run.progress.interrupted_count < PART_EVIDENCE_LIMIT or is_probe
    return run.keys if is_early else run.keys.without_parts()


def _apply_nothing() -> None:
    """Do nothing; the default until peers are set."""


def _publish_nothing(_: list[DemandNotice]) -> None:
    """Do nothing; the default until peers are set."""
