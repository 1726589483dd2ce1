"""Deletion of finished jobs after their retention time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.jobs.job_rows import CommitVerdict, StoredHead
from citrondyke.storage.failure import PlatformFailure
from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.batch.job_clock import JobClock
    from citrondyke.decisions.batch.takeover import InstanceLiveness
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.job_removal import JobRemoval
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import JobId

__all__ = ('JobSweeper',)

log = logbook.Logger(__name__)

#: Sweep interval: one listing per minute and instance, and the reads of old heads divided among
#: the instances.
SWEEP_EVERY_MS = 60_000.0
#: Added to the retention time: where the store's clock is not known the clocks of instances differ
#: by seconds, and keeping a job slightly longer does no harm.
CLOCK_MARGIN_MS = 60_000.0
#: Jobs deleted in one sweep, so that the first one after a long outage doesn't use up the store's
#: rate.
JOBS_PER_SWEEP = 50
PAUSE_S = 0.05


def retained_for_ms(head: JobHead, retention_ms: float, epoch_ms: float) -> float:
    """Return for how much longer a job is retained once it is finished.

    :param epoch_ms: time by the job's clock.
    """
    finished_ms = max(head.accepted_epoch_ms, head.due_epoch_ms)
    return finished_ms + retention_ms + CLOCK_MARGIN_MS - epoch_ms


class JobSweeper:
    """Deletes expired jobs; each job is assigned to one live instance by rendezvous hashing."""

    def __init__(
        self,
        context: Context,
        job_clock: JobClock,
        store: JobStore,
        removal: JobRemoval,
        live: InstanceLiveness,
        retention_ms: float,
    ) -> None:
        """Initialize the sweeper.

        :param retention_ms: time for which a finished job stays readable.
        """
        self._context = context
        self._job_clock = job_clock
        self._store = store
        self._removal = removal
        self._live = live
        self._retention_ms = retention_ms
        #: Own time until which a job is retained, so that its head is not read in each sweep.
        self._retained_until_ms: dict[JobId, float] = {}
        self._failures = FailureLog(context.clock, 'task')

    def start(self, tasks: Tasks) -> None:
        """Start sweeping."""
        self._failures = tasks.failures
        tasks.supervise(self._run)

    def sweep(self) -> int:
        """Delete expired jobs; return their number."""
        listed = self._removal.all_jobs()
        if isinstance(listed, PlatformFailure):
            return 0
        known = set(listed)
        self._retained_until_ms = {
            job_id: until for job_id, until in self._retained_until_ms.items() if job_id in known
        }
        deleted = 0
        for job_id in listed:
            if self._is_assigned_here(job_id) and self._try_sweep(job_id):
                deleted += 1
                gevent.sleep(PAUSE_S)
            if deleted >= JOBS_PER_SWEEP:
                break
        if deleted:
            log.info('jobs.swept', extra={'deleted': deleted, 'kept': len(listed) - deleted})
        return deleted

    def _is_assigned_here(self, job_id: JobId) -> bool:
        names = self._live.live_instances()
        chosen = max(names, key=lambda name: rendezvous_weight(name, job_id))
        return chosen == self._context.instance_id

    def _try_sweep(self, job_id: JobId) -> bool:
        """Sweep a job; one that raises must not keep those after it in the store for good."""
        try:
            return self._sweep_one(job_id)
        except Exception:
            self._failures.record_failure('JobSweeper.sweep', job_id=job_id)
            return False

    def _sweep_one(self, job_id: JobId) -> bool:
        now_ms = self._context.now_ms()
        if self._retained_until_ms.get(job_id, float('-inf')) > now_ms:
            return False
        stored = self._store.current_head(job_id)
        if not isinstance(stored, StoredHead):
            return False
        head = stored.head
        left_ms = retained_for_ms(head, self._retention_ms, self._job_clock.epoch_ms(head))
        if left_ms >= 0.0:
            self._retained_until_ms[job_id] = now_ms + left_ms
            return False
        if not (head.is_done or head.is_ended):
            return False
        return self._removal.delete(stored) is CommitVerdict.DONE

    def _run(self) -> None:
        while True:
            gevent.sleep(self._context.jittered_ms(SWEEP_EVERY_MS) / 1e3)
            self.sweep()
