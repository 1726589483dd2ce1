"""Runs the items of the jobs that this instance owns, and makes their results durable."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.event import Event

from citrondyke.decisions.batch.give_way import RunningItem, Urgency, urgency
from citrondyke.decisions.batch.owned_job import RunEnd
from citrondyke.decisions.batch.run_length import RunLengths
from citrondyke.decisions.forwarding.route_table import NoRoute
from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError
from citrondyke.errors.gave_way import GaveWayError
from citrondyke.gateway.item_sender import ItemSender
from citrondyke.gateway.job_rows import CommitVerdict, NoJob
from citrondyke.ids import JobId

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.give_way import GiveWay
    from citrondyke.decisions.batch.owned_job import ItemProgress, OwnedJob
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.beliefs import Beliefs
    from citrondyke.gateway.dialect import Dialect
    from citrondyke.gateway.job_store import JobStore
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.server_sends import ServerSends
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import ServerId, ServiceName

__all__ = ('JobRunner',)

log = logbook.Logger(__name__)

#: Pause between two looks for free places while items wait.
PUMP_EVERY_MS = 25.0
#: Results that end within this time share a commit.
COMMIT_EVERY_MS = 120.0
#: An owner looks so often whether its jobs still are its own: a cancellation must reach the
#: servers within 3 s though no feed tells of it.
HEAD_LOOK_MS = 1_000.0
#: How often the progress of running items is kept, and from how many new events on (30 ms each);
#: an owner's death costs each of its items half of that on average.
SAVE_EVERY_MS = 1_200.0
SAVE_EVENTS = 20
#: Items in one transaction; 15 KB each for 250 events, of 1 MB.
SAVE_ITEMS = 30


class _Run(msgspec.Struct, frozen=True, eq=False):
    job: OwnedJob
    progress: ItemProgress
    server_id: ServerId
    started_ms: float
    greenlet: gevent.Greenlet


class JobRunner:
    """The owner's side of batch jobs."""

    def __init__(
        self,
        context: Context,
        beliefs: Beliefs,
        give_way: GiveWay,
        sends: ServerSends,
        dialect: Dialect,
        store: JobStore,
        metrics: Metrics,
        tasks: Tasks,
        on_done: Callable[[OwnedJob], None],
    ) -> None:
        """Use the parts handed in.

        :param on_done: takes a job whose results all are durable.
        """
        self._context = context
        self._beliefs = beliefs
        self._give_way = give_way
        self._sends = sends
        self._store = store
        self._metrics = metrics
        self._tasks = tasks
        self._on_done = on_done
        self.jobs: dict[JobId, OwnedJob] = {}
        self.is_stopping = False
        self._sender = ItemSender(context, sends, dialect)
        self._lengths = RunLengths()
        self._runs: dict[int, _Run] = {}
        self._runs_count = 0
        self._committing: set[JobId] = set()
        self._listed: dict[JobId, Event] = {}

    def start(self) -> None:
        """Begin to run items."""
        self._tasks.keep(self._run_pump)
        self._tasks.keep(self._run_commits)
        self._tasks.keep(self._run_looks)
        self._tasks.keep(self._run_saves)

    def add(self, job: OwnedJob) -> None:
        """Take a job to run."""
        self.jobs[job.head.job_id] = job
        self._pump()

    def owned(self, job_id: JobId) -> OwnedJob | None:
        """Give a job that is this instance's; ``None`` when it is not."""
        job = self.jobs.get(job_id)
        return None if job is None or job.is_lost else job

    def wait_listed(self, job_id: JobId, timeout_ms: float) -> None:
        """Wait until more results of a job are durable."""
        event = self._listed.setdefault(job_id, Event())
        event.wait(timeout_ms / 1e3)

    def lose(self, job_id: JobId, reason: str) -> None:
        """Let go of a job that is ended or another's; its running items stop at once."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        job.is_lost = True
        log.info('job.let_go', extra={'job_id': job_id, 'reason': reason, 'version': job.version})
        for run in list(self._runs.values()):
            if run.job is job:
                run.greenlet.kill(GaveWayError, block=False)
        self._wake(job_id)

    def look_at(self, job_id: JobId) -> None:
        """Look whether a job still is this instance's."""
        job = self.owned(job_id)
        if job is not None:
            self._tasks.spawn(self._look, job)

    def make_room(self) -> None:
        """Cut the items that stand in the way of online requests."""
        if not self._runs:
            return
        epoch_ms = self._context.epoch_ms()
        running = [
            RunningItem(
                number,
                run.server_id,
                run.started_ms,
                self._urgency(run.job, run.progress, epoch_ms),
            )
            for number, run in self._runs.items()
        ]
        for item in self._give_way.to_cut(running):
            run = self._runs[item.number]
            self._metrics.counters['items_cut'] += 1
            log.info(
                'item.gives_way',
                extra={
                    'job_id': run.job.head.job_id,
                    'item_id': run.progress.item.id,
                    'server_id': item.server_id,
                    'urgency': item.urgency.value,
                },
            )
            run.greenlet.kill(GaveWayError, block=False)

    def hand_over(self, until_ms: float) -> None:
        """Give all jobs back, with how far their items have come, before a planned stop."""
        self.is_stopping = True
        for run in list(self._runs.values()):
            run.greenlet.kill(GaveWayError, block=False)
        gevent.sleep(0)
        workers = [self._tasks.spawn(self._give_back, job, until_ms) for job in self.jobs.values()]
        gevent.joinall(workers, timeout=max(0.0, (until_ms - self._context.now_ms()) / 1e3))

    def _give_back(self, job: OwnedJob, until_ms: float) -> None:
        while self._context.now_ms() < until_ms:
            if job.head.job_id in self._committing:
                gevent.sleep(0.01)
                continue
            verdict = CommitVerdict.DONE
            if job.to_commit():
                verdict = self._commit_once(job)
            if verdict is CommitVerdict.DONE and not job.finished:
                verdict = self._store.release(job, list(job.open.values()))
                if verdict is CommitVerdict.DONE or job.is_over:
                    log.info('job.handed_over', extra={'job_id': job.head.job_id})
                    self.jobs.pop(job.head.job_id, None)
                    return
            if verdict is CommitVerdict.FENCED:
                return
            gevent.sleep(0.05)

    def _run_pump(self) -> None:
        while True:
            gevent.sleep(PUMP_EVERY_MS / 1e3)
            self.make_room()
            self._pump()

    def _pump(self) -> None:
        """Start items while places are free, those of the job that is due first.

        Jobs that are late already come last: each place that they take would make another late.
        """
        if self.is_stopping or not self.jobs:
            return
        now_ms, epoch_ms = self._context.now_ms(), self._context.epoch_ms()
        full: set[tuple[ServiceName, Urgency]] = set()
        jobs = sorted(
            self.jobs.values(),
            key=lambda job: (job.head.due_epoch_ms < epoch_ms, job.head.due_epoch_ms),
        )
        for job in jobs:
            job.abandon_late(epoch_ms)
            while (progress := job.next_item(now_ms)) is not None:
                service = self._service(job, progress)
                urgency_now = self._urgency(job, progress, epoch_ms)
                if service is None or (service, urgency_now) in full:
                    break
                state = self._give_way.choose(service, urgency_now)
                if state is None:
                    full.add((service, urgency_now))
                    break
                self._begin(job, progress, state)

    def _urgency(self, job: OwnedJob, progress: ItemProgress, epoch_ms: float) -> Urgency:
        remaining_ms = self._lengths.remaining_ms(job.head.route, progress.events_count)
        return urgency(job.head.due_epoch_ms, epoch_ms, remaining_ms)

    def _service(self, job: OwnedJob, progress: ItemProgress) -> ServiceName | None:
        config = self._beliefs.config
        route = config.current.find(job.head.host, progress.item.path)
        if not isinstance(route, NoRoute):
            weights = [share.weight for share in route.shares]
            return self._context.random.choices(route.shares, weights)[0].service
        if config.is_confirmed(self._context.now_ms()):
            # Configurations never go back, so the route is gone for good.
            log.info(
                'item.route_gone',
                extra={
                    'job_id': job.head.job_id,
                    'item_id': progress.item.id,
                    'config_version': config.current.version,
                },
            )
            self._end(job, progress, RunEnd.IMPOSSIBLE)
        return None

    def _begin(self, job: OwnedJob, progress: ItemProgress, state: ServerState) -> None:
        progress.is_running = True
        # The place is counted now, so that the next choice sees it.
        self._sends.enter(state, is_batch=True)
        self._runs_count += 1
        number = self._runs_count
        started_ms = self._context.now_ms()
        greenlet = self._tasks.spawn(self._run_item, number, job, progress, state)
        self._runs[number] = _Run(job, progress, state.listed.id, started_ms, greenlet)

    def _run_item(
        self, number: int, job: OwnedJob, progress: ItemProgress, state: ServerState
    ) -> None:
        end = RunEnd.BROKEN
        detail = ''
        started_ms = self._context.now_ms()
        events_before = progress.events_count
        try:
            end = self._sender.run(progress, job.head.host, state)
        except GaveWayError:
            end = RunEnd.GAVE_WAY
        except BrokenReplyError as error:
            detail = error.message
            if error.break_kind is not BreakKind.NO_CONNECTION:
                state.note_failure(self._context.now_ms())
        finally:
            self._runs.pop(number, None)
            self._sends.leave(state, is_batch=True)
        took_ms = self._context.now_ms() - started_ms
        self._lengths.note_pace(job.head.route, progress.events_count - events_before, took_ms)
        if end is RunEnd.COMPLETED:
            self._lengths.note_whole(job.head.route, progress.events_count)
        self._metrics.counters[f'items_{end.value}'] += 1
        log.info(
            'item.run',
            extra={
                'job_id': job.head.job_id,
                'item_id': progress.item.id,
                'server_id': state.listed.id,
                'end': end.value,
                'detail': detail,
                'last_event_id': progress.last_event_id,
                'took_ms': round(took_ms, 1),
            },
        )
        self._end(job, progress, end)
        if end is RunEnd.FAILED and progress.item.id in job.open:
            self._save(job, [progress])
        self._pump()

    def _end(self, job: OwnedJob, progress: ItemProgress, end: RunEnd) -> None:
        job.end_run(progress, end, self._context.now_ms(), self._context.epoch_ms())

    def _run_commits(self) -> None:
        while True:
            gevent.sleep(COMMIT_EVERY_MS / 1e3)
            for job_id, job in list(self.jobs.items()):
                if job.finished and job_id not in self._committing and not self.is_stopping:
                    self._tasks.spawn(self._commit_once, job)

    def _commit_once(self, job: OwnedJob) -> CommitVerdict:
        job_id = job.head.job_id
        self._committing.add(job_id)
        try:
            results = job.to_commit()
            verdict = self._store.commit(job, results)
        finally:
            self._committing.discard(job_id)
        log.info(
            'job.commit',
            extra={
                'job_id': job_id,
                'verdict': verdict.value,
                'results': len(results),
                'listed': len(job.results),
                'of': job.head.items_count,
                'version': job.version,
            },
        )
        if verdict is CommitVerdict.FENCED:
            self.lose(job_id, 'fenced')
        elif verdict is CommitVerdict.DONE:
            if job.head.is_done:
                # Whoever reads it from now on needs no owner.
                self.jobs.pop(job_id, None)
                self._on_done(job)
            self._wake(job_id)
        return verdict

    def _wake(self, job_id: JobId) -> None:
        event = self._listed.pop(job_id, None)
        if event is not None:
            event.set()

    def _run_saves(self) -> None:
        """Keep how far items have come, so that a killed owner's work is not done again."""
        while True:
            gevent.sleep(self._context.jittered_ms(SAVE_EVERY_MS) / 1e3)
            for job in list(self.jobs.values()):
                ahead = [
                    progress
                    for progress in job.open.values()
                    if progress.events_count - (progress.saved_event_id or 0) >= SAVE_EVENTS
                ]
                if ahead and not job.is_over and not self.is_stopping:
                    self._save(job, ahead[:SAVE_ITEMS])

    def _save(self, job: OwnedJob, items: list[ItemProgress]) -> None:
        ids = [(progress, progress.last_event_id) for progress in items]
        verdict = self._store.save_progress(job, items)
        if verdict is CommitVerdict.DONE:
            for progress, event_id in ids:
                progress.saved_event_id = event_id
            return
        log.info(
            'progress.not_kept',
            extra={
                'job_id': job.head.job_id,
                'items': len(items),
                'verdict': verdict.value,
                'version': job.version,
            },
        )

    def _run_looks(self) -> None:
        """Look at the heads of jobs with open items."""
        while True:
            gevent.sleep(self._context.jittered_ms(HEAD_LOOK_MS) / 1e3)
            for job in list(self.jobs.values()):
                if not job.is_over:
                    self._look(job)

    def _look(self, job: OwnedJob) -> None:
        stored = self._store.head(job.head.job_id)
        if isinstance(stored, NoJob) or job.is_over or job.head.job_id in self._committing:
            return
        if stored.version != job.version and not stored.head.is_done:
            self.lose(job.head.job_id, 'head changed')
