"""The jobs in the hands of this instance, shared by all who work on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.batch.owned_job import OwnedJob
    from citrondyke.ids import JobId

__all__ = ('OwnedJobs',)

log = logbook.Logger(__name__)


class OwnedJobs:
    """Takes jobs in and lets them go; readers wait here for their results."""

    def __init__(self) -> None:
        """Start with none."""
        self.by_id: dict[JobId, OwnedJob] = {}
        #: Set at a planned stop: jobs are given back, and no new ones are taken.
        self.is_stopping = False
        self._result_events: dict[JobId, Event] = {}
        self._on_lost: Callable[[OwnedJob], None] = _ignore
        self._has_jobs = Event()
        self.notify_taken_over: Callable[[], None] = _notify_nothing

    def on_ownership_lost(self, on_lost: Callable[[OwnedJob], None]) -> None:
        """Have somebody told of each job that is let go while its items may run."""
        self._on_lost = on_lost

    def on_job_taken_over(self, on_taken_over: Callable[[], None]) -> None:
        """Have somebody told of jobs that belonged to another instance before."""
        self.notify_taken_over = on_taken_over

    def add(self, job: OwnedJob) -> None:
        """Take a job in."""
        self.by_id[job.head.job_id] = job
        self._has_jobs.set()

    def drop(self, job_id: JobId) -> OwnedJob | None:
        """Let a job go that is done or given back."""
        job = self.by_id.pop(job_id, None)
        if not self.by_id:
            self._has_jobs.clear()
        return job

    def wait_for_jobs(self) -> None:
        """Wait until there is a job; most instances have none most of the time."""
        self._has_jobs.wait()

    def owned(self, job_id: JobId) -> OwnedJob | None:
        """Give a job that is this instance's; ``None`` when it is not."""
        job = self.by_id.get(job_id)
        return None if job is None or job.is_lost else job

    def held_bytes(self) -> int:
        """Count the bytes of all open items."""
        return sum(
            len(progress.item.body) for job in self.by_id.values() for progress in job.open.values()
        )

    def lose(self, job_id: JobId, reason: str) -> None:
        """Let go of a job that is ended or another's; its running items stop at once."""
        job = self.drop(job_id)
        if job is None:
            return
        job.is_lost = True
        log.info('job.let_go', extra={'job_id': job_id, 'reason': reason, 'version': job.version})
        self._on_lost(job)
        self.wake_readers(job_id)

    def wait_for_results(self, job_id: JobId, timeout_ms: float) -> None:
        """Wait until more results of a job are durable."""
        event = self._result_events.setdefault(job_id, Event())
        event.wait(timeout_ms / 1e3)

    def wake_readers(self, job_id: JobId) -> None:
        """Have those who wait for a job's results look again."""
        event = self._result_events.pop(job_id, None)
        if event is not None:
            event.set()


def _notify_nothing() -> None:
    """Stand in until somebody wants to be told."""


def _ignore(_: OwnedJob) -> None:
    """Stand in until somebody wants to be told."""
