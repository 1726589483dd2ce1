"""Jobs owned by this instance, shared by the components that process them."""

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
    """Registry of owned jobs; readers wait here for results."""

    def __init__(self) -> None:
        """Start without jobs."""
        self.by_id: dict[JobId, OwnedJob] = {}
        #: Set at a planned stop: jobs are released, and no new ones are accepted or claimed.
        self.is_stopping = False
        self._result_events: dict[JobId, Event] = {}
        self._on_lost: Callable[[OwnedJob], None] = _ignore
        self._has_jobs = Event()
        self.notify_taken_over: Callable[[], None] = _notify_nothing

    def on_ownership_lost(self, on_lost: Callable[[OwnedJob], None]) -> None:
        """Set the callback for jobs whose ownership is lost while their items may be running."""
        self._on_lost = on_lost

    def on_job_taken_over(self, on_taken_over: Callable[[], None]) -> None:
        """Set the callback for jobs taken over from another instance."""
        self.notify_taken_over = on_taken_over

    def add(self, job: OwnedJob) -> None:
        """Add a job."""
        self.by_id[job.head.job_id] = job
        self._has_jobs.set()

    def drop(self, job_id: JobId) -> OwnedJob | None:
        """Remove a job that is done or released."""
        job = self.by_id.pop(job_id, None)
        if not self.by_id:
            self._has_jobs.clear()
        return job

    def wait_for_jobs(self) -> None:
        """Wait until this instance owns a job.

        Most instances own none most of the time, and polling would waste processor time.
        """
        self._has_jobs.wait()

    def owned(self, job_id: JobId) -> OwnedJob | None:
        """Return a job that this instance owns, or ``None``."""
        job = self.by_id.get(job_id)
        return None if job is None or job.is_lost else job

    def held_bytes(self) -> int:
        """Return the size of the items of all jobs in bytes, without those that are listed."""
        return sum(job.held_bytes for job in self.by_id.values())

    def lose(self, job_id: JobId, reason: str) -> None:
        """Drop a job that was ended or is owned by another instance, and stop its running items."""
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
        """Wake readers that wait for a job's results."""
        event = self._result_events.pop(job_id, None)
        if event is not None:
            event.set()


def _notify_nothing() -> None:
    """Do nothing; the default callback."""


def _ignore(_: OwnedJob) -> None:
    """Do nothing; the default callback."""
