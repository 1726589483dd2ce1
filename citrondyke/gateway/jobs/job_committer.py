"""Commits results and progress of owned jobs, and checks that they are still owned."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.gateway.jobs.job_rows import CommitVerdict, NoJob

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.batch.owned_job import ItemProgress, OwnedJob
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.job_rows import StoredHead
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import JobId

__all__ = ('JobCommitter',)

log = logbook.Logger(__name__)

#: Results that finish within this time share a commit.
COMMIT_EVERY_MS = 120.0
#: Interval at which an owner checks that its jobs are still its own: a cancellation must reach the
#: servers within 3 s even if the change feed does not deliver it.
HEAD_POLL_MS = 1_000.0
#: Interval at which the progress of running items is saved, and the number of new events (30 ms
#: each) from which an item is included. If the owner dies, each of its items loses half of that on
#: average.
SAVE_EVERY_MS = 1_200.0
SAVE_EVENTS = 20
#: Items in one transaction: 15 KB each for 250 events, of at most 1 MB.
SAVE_ITEMS = 30
#: Smallest interval between saves, as a multiple of the store's latency. Transactions on one job
#: are serialized: if each takes 450 ms, a commit that is queued behind two others is late.
SAVE_INTERVAL_FACTOR = 10.0
RELEASE_RETRY_PAUSE_S = 0.05
COMMIT_POLL_S = 0.01


class JobCommitter:
    """Writes results and progress of items, fenced by the version of each job's head."""

    def __init__(
        self,
        context: Context,
        owned: OwnedJobs,
        store: JobStore,
        tasks: Tasks,
        on_done: Callable[[OwnedJob], None],
    ) -> None:
        """Initialize the committer.

        :param on_done: called with a job when all its results are durable.
        """
        self._context = context
        self._owned = owned
        self._store = store
        self._tasks = tasks
        self._on_done = on_done
        self._committing: set[JobId] = set()

    def start(self) -> None:
        """Start committing results, polling heads and saving progress."""
        self._tasks.supervise(self._run_commits)
        self._tasks.supervise(self._run_head_polls)
        self._tasks.supervise(self._run_saves)

    def check_job(self, job_id: JobId) -> None:
        """Check ownership of a job whose head has changed, by a consistent read."""
        job = self._owned.owned(job_id)
        if job is not None:
            self._tasks.spawn(self._check_current_head, job)

    def check_all(self) -> None:
        """Read the heads of all jobs with open items.

        A plain read may be seconds old and then shows no change, but it does not wait for the
        transactions of its job. An instance that changes a head also notifies the owner.
        """
        for job in list(self._owned.by_id.values()):
            if not job.is_closed:
                self._tasks.failures.attempt('JobCommitter.check', self._check_read_head, job)

    def save_pause_ms(self) -> float:
        """Return the interval between two saves of progress."""
        return max(SAVE_EVERY_MS, SAVE_INTERVAL_FACTOR * self._store.mean_latency_ms)

    def save(self, job: OwnedJob, items: Iterable[ItemProgress]) -> None:
        """Save the progress of items for the next owner."""
        saved = [(progress, progress.last_event_id) for progress in items]
        verdict = self._store.save_progress(job, [progress for progress, _ in saved])
        if verdict is CommitVerdict.DONE:
            for progress, event_id in saved:
                progress.saved_event_id = event_id
            return
        log.info(
            'progress.not_kept',
            extra={
                'job_id': job.head.job_id,
                'items': len(saved),
                'verdict': verdict.value,
                'version': job.version,
            },
        )

    def release_ownership(self, job: OwnedJob, until_ms: float) -> None:
        """Commit the finished results and release the job with the progress of its items."""
        while self._context.now_ms() < until_ms:
            if job.head.job_id in self._committing:
                gevent.sleep(COMMIT_POLL_S)
                continue
            verdict = CommitVerdict.DONE
            if job.next_commit():
                self._committing.add(job.head.job_id)
                verdict = self._commit_once(job)
            if verdict is CommitVerdict.DONE and not job.finished:
                verdict = self._store.release(job, list(job.open.values()))
                if verdict is CommitVerdict.DONE or job.is_closed:
                    log.info('job.handed_over', extra={'job_id': job.head.job_id})
                    self._owned.drop(job.head.job_id)
                    return
            if verdict is CommitVerdict.FENCED:
                return
            gevent.sleep(RELEASE_RETRY_PAUSE_S)

    def _run_commits(self) -> None:
        while True:
            self._owned.wait_for_jobs()
            gevent.sleep(COMMIT_EVERY_MS / 1e3)
            for job_id, job in list(self._owned.by_id.items()):
                if job.finished and job_id not in self._committing and not self._owned.is_stopping:
                    # In a late event loop the greenlet starts after further turns of this loop.
                    self._committing.add(job_id)
                    self._tasks.spawn(self._commit_once, job)

    def _commit_once(self, job: OwnedJob) -> CommitVerdict:
        """Commit finished results of a job that the caller has added to ``_committing``."""
        job_id = job.head.job_id
        try:
            results = job.next_commit()
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
            self._owned.lose(job_id, 'fenced')
        elif verdict is CommitVerdict.DONE:
            if job.head.is_done:
                # A complete job is read from the store and needs no owner.
                self._owned.drop(job_id)
                self._on_done(job)
            self._owned.wake_readers(job_id)
        return verdict

    def _run_saves(self) -> None:
        """Save progress periodically, so that the work of a killed owner is not repeated."""
        while True:
            gevent.sleep(self._context.jittered_ms(self.save_pause_ms()) / 1e3)
            for job in list(self._owned.by_id.values()):
                unsaved = [
                    progress
                    for progress in job.open.values()
                    if progress.events_count - (progress.saved_event_id or 0) >= SAVE_EVENTS
                ]
                if unsaved and not job.is_closed and not self._owned.is_stopping:
                    attempt = self._tasks.failures.attempt
                    attempt('JobCommitter.save', self.save, job, unsaved[:SAVE_ITEMS])

    def _run_head_polls(self) -> None:
        while True:
            gevent.sleep(self._context.jittered_ms(HEAD_POLL_MS) / 1e3)
            self.check_all()

    def _check_read_head(self, job: OwnedJob) -> None:
        self._apply_head(job, self._store.read_head(job.head.job_id))

    def _check_current_head(self, job: OwnedJob) -> None:
        self._apply_head(job, self._store.current_head(job.head.job_id))

    def _apply_head(self, job: OwnedJob, stored: StoredHead | NoJob) -> None:
        if isinstance(stored, NoJob) or job.is_closed or job.head.job_id in self._committing:
            return
        if stored.version > job.version and not stored.head.is_done:
            self._owned.lose(job.head.job_id, 'head changed')
