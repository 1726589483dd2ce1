"""Takeover of open jobs whose owner is dead or has released them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.batch.owned_job import OwnedJob
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.jobs.job_rows import (
    HEAD_KEY,
    HEADS_TABLE,
    CommitVerdict,
    NoJob,
    NoJobReason,
    StoredHead,
    decode_head,
)
from citrondyke.gateway.replication.change_feed import ChangeFeed
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.gateway.retry_backoff import backoff_ms
from citrondyke.ids import JobId
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.batch.job import JobHead, JobItem
    from citrondyke.decisions.batch.read_budget import ReadBudget
    from citrondyke.decisions.batch.takeover import TakeoverSchedule
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.job_runner import JobRunner
    from citrondyke.gateway.jobs.job_store import JobStore
    from citrondyke.gateway.jobs.owned_jobs import OwnedJobs
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('JobClaimer',)

log = logbook.Logger(__name__)

#: Interval of listing the open jobs, in addition to the change feed.
LIST_EVERY_MS = 3_000.0
POLL_EVERY_MS = 250.0
#: Jobs that are claimed and read at the same time; each of them has 500 KB at most, or is read from
#: an object, one after the other.
CLAIMS_LIMIT = 16
#: Interval of checking for free memory before a large job is read.
ROOM_POLL_S = 0.05
#: Longest time that the first listing waits for the first poll of the other instances.
FIRST_POLL_DELAY_MS = 500.0
FIRST_POLL_PAUSE_S = 0.02


class JobClaimer:
    """Follows the heads of the open jobs and claims the jobs that have no live owner."""

    def __init__(
        self,
        context: Context,
        incarnation: str,
        table: PartitionedTable,
        store: JobStore,
        owned: OwnedJobs,
        runner: JobRunner,
        takeover: TakeoverSchedule,
        budget: ReadBudget,
        store_interval_factor: Callable[[], float],
        tasks: Tasks,
        items_limit_bytes: float,
    ) -> None:
        """Initialize the claimer.

        :param incarnation: identifies the current incarnation of this instance.
        :param budget: rate limit for reads of heads.
        :param store_interval_factor: returns the factor by which store calls are rarer than in a
            small fleet.
        :param items_limit_bytes: size of the owned items from which no further job is claimed.
        """
        self._context = context
        self._incarnation = incarnation
        self._budget = budget
        self._table = table
        self.store = store
        self._owned = owned
        self._runner = runner
        self._takeover = takeover
        self._tasks = tasks
        self._open: dict[JobId, StoredHead] = {}
        #: Whether all open jobs have been listed once since the start.
        self.is_listed = False
        self._claiming: set[JobId] = set()
        self._items_limit_bytes = items_limit_bytes
        self._has_room = True
        #: Held while the items of a large job are read.
        self._object_reads = BoundedSemaphore(1)
        self.unreadable = UnreadableRows(HEADS_TABLE)
        self._store_interval_factor = store_interval_factor
        self._feed = ChangeFeed(
            context,
            table,
            HEADS_TABLE,
            store_interval_factor,
            self._apply_rows,
            self._newest_version,
        )

    def start(self) -> None:
        """Start following and claiming jobs."""
        self._tasks.supervise(self._feed.run)
        self._tasks.supervise(self._run_list)
        self._tasks.supervise(self._run_claims)

    def _apply_rows(self, rows: Iterable[PartRow]) -> None:
        self.unreadable.apply_each(rows, self._apply_row)

    def _newest_version(self) -> int:
        page = self._table.read(HEADS_TABLE, '', limit=1)
        return 0 if isinstance(page, PlatformFailure) else page.version

    def _apply_row(self, row: PartRow) -> None:
        if row.key != HEAD_KEY or row.value is None:
            return
        try:
            head = decode_head(row.value)
        except UnreadableBytesError as error:
            self.unreadable.log_once(row.part, row.version, error.message)
            return
        self._apply_head(StoredHead(head, row.version))
        self.unreadable.record_readable(row.part, row.version)

    def _apply_head(self, stored: StoredHead) -> None:
        head = stored.head
        known = self._open.get(head.job_id)
        if known is not None and known.version >= stored.version:
            return
        if head.is_ended or head.is_done:
            self._open.pop(head.job_id, None)
            self._takeover.forget(head.job_id)
        else:
            self._open[head.job_id] = stored
        job = self._owned.owned(head.job_id)
        if job is None or stored.version <= job.version or head.is_done:
            return
        if head.is_ended or head.owner_life != self._incarnation:
            self._owned.lose(head.job_id, 'head changed')

    def open_heads(self) -> list[JobHead]:
        """Return the heads of the known open jobs."""
        return [stored.head for stored in self._open.values()]

    @property
    def open_count(self) -> int:
        """Return the number of known open jobs, including those of other owners."""
        return len(self._open)

    def list_once(self) -> None:
        """Read the heads of open jobs that the feed has not delivered.

        Plain reads are used instead of transactions: after a power loss every instance reads the
        heads of all open jobs, and transactions would exhaust the store's rate. A head that a
        stale read does not return yet is read again at the next listing.
        """
        listed = self.store.open_jobs()
        if isinstance(listed, PlatformFailure):
            return
        is_whole = True
        # In random order, so that each job is soon known to some instance although the read
        # budget keeps every instance from reading all heads at once.
        self._context.random.shuffle(listed)
        for job_id in listed:
            if job_id in self._open or job_id in self._owned.by_id:
                continue
            wait_ms = self._budget.take()
            if wait_ms > 0:
                gevent.sleep(wait_ms / 1e3)
            try:
                is_whole &= self._read_listed(job_id)
            except Exception:
                self._tasks.failures.record_failure('JobClaimer.read', job_id=job_id)
                is_whole = False
        self.is_listed = self.is_listed or is_whole

    def _read_listed(self, job_id: JobId) -> bool:
        """Read and apply the head of a listed job; return whether it was read."""
        stored = self.store.read_head(job_id)
        if not isinstance(stored, StoredHead):
            return False
        self._apply_head(stored)
        return True

    def _run_list(self) -> None:
        # The read budget is divided by the number of instances, which the first poll provides.
        # Nothing else depends on it.
        with gevent.Timeout(FIRST_POLL_DELAY_MS / 1e3, False):
            while not self._takeover.has_polled_instances:
                gevent.sleep(FIRST_POLL_PAUSE_S)
        while True:
            self.list_once()
            gevent.sleep(
                self._context.jittered_ms(LIST_EVERY_MS * self._store_interval_factor()) / 1e3
            )

    def _refresh(self, job_id: JobId) -> None:
        stored = self.store.current_head(job_id)
        if isinstance(stored, StoredHead):
            self._apply_head(stored)
        elif stored.reason is NoJobReason.UNKNOWN:
            self._open.pop(job_id, None)

    def _run_claims(self) -> None:
        while True:
            gevent.sleep(self._context.jittered_ms(POLL_EVERY_MS) / 1e3)
            if self._owned.is_stopping:
                return
            self.claim_due()

    def claim_due(self) -> None:
        """Begin to claim the jobs that are due, as far as there is memory for them."""
        if not self._check_room():
            return
        for stored in list(self._open.values()):
            # One job must not keep the others without an owner.
            self._tasks.failures.attempt('JobClaimer.claim', self._claim_if_due, stored)

    def _check_room(self) -> bool:
        """Return whether there is memory for another job; log each change.

        Handles the loss of most instances. Those that are left would take over all jobs, exceed
        their memory and be killed, again and again; a job that nobody can hold waits in the store
        until items of others are done.
        """
        held_bytes = self._owned.held_bytes()
        has_room = held_bytes <= self._items_limit_bytes
        if has_room is not self._has_room:
            self._has_room = has_room
            log.info(
                'jobs.room',
                extra={
                    'has_room': has_room,
                    'held_bytes': held_bytes,
                    'limit_bytes': round(self._items_limit_bytes),
                    'owned': len(self._owned.by_id),
                    'open': len(self._open),
                },
            )
        return has_room

    def _claim_if_due(self, stored: StoredHead) -> None:
        job_id = stored.head.job_id
        if job_id in self._owned.by_id or job_id in self._claiming:
            return
        if len(self._claiming) >= CLAIMS_LIMIT:
            return
        if self._takeover.is_due(stored.head, stored.version):
            self._claiming.add(job_id)
            self._tasks.spawn(self._claim, stored)

    def _claim(self, stored: StoredHead) -> None:
        head = stored.head
        try:
            wanted = msgspec.structs.replace(
                head,
                owner=self._context.instance_id,
                owner_life=self._incarnation,
                # A released head has no owner; its previous incarnation is kept.
                life_before=head.owner_life or head.life_before,
            )
            claimed = self.store.change_head(stored, wanted)
            log.info(
                'job.claim',
                extra={
                    'job_id': head.job_id,
                    'owner_before': head.owner,
                    'version_before': stored.version,
                    'verdict': 'done' if isinstance(claimed, StoredHead) else claimed.value,
                },
            )
            if isinstance(claimed, StoredHead):
                self._load(claimed)
            elif claimed is CommitVerdict.FENCED:
                self._refresh(head.job_id)
        finally:
            self._claiming.discard(head.job_id)

    def _load(self, claimed: StoredHead) -> None:
        """Load the job's durable state; reads that are older than the claim are repeated.

        That takes seconds for many large jobs. The job may be ended meanwhile, and its items must
        not start then, so the head is read once more after them.
        """
        head = claimed.head
        self._open[head.job_id] = claimed
        failures_count = 0
        while not self._owned.is_stopping:
            items = self._read_items(head)
            results = self.store.results(head.job_id, 0, claimed.version)
            progress = self.store.progress(head.job_id)
            current = self.store.read_head(head.job_id)
            if isinstance(current, StoredHead):
                self._apply_head(current)
            if self._open.get(head.job_id) is not claimed:
                log.info(
                    'job.let_go',
                    extra={
                        'job_id': head.job_id,
                        'reason': 'head changed',
                        'version': claimed.version,
                    },
                )
                return
            if (
                isinstance(items, PlatformFailure)
                or isinstance(results, PlatformFailure)
                or isinstance(progress, PlatformFailure)
                or isinstance(current, NoJob)
            ):
                failures_count += 1
                gevent.sleep(self._context.jittered_ms(backoff_ms(failures_count)) / 1e3)
                continue
            job = OwnedJob(head, claimed.version, items, results)
            for each in progress:
                job.restore(
                    each.item_id, each.last_event_id, each.text, each.failures_count, each.origin
                )
            log.info(
                'job.taken_over',
                extra={
                    'job_id': head.job_id,
                    'version': claimed.version,
                    'listed': len(results),
                    'open': len(job.open),
                    'resumed': sum(each.last_event_id is not None for each in job.open.values()),
                },
            )
            self._runner.add(job)
            self._owned.notify_taken_over()
            return

    def _read_items(self, head: JobHead) -> list[JobItem] | PlatformFailure:
        """Read the items of a job, those of large jobs one job after the other.

        Handles a loss of all instances: all reads of objects share the store's bandwidth, and many
        at once would all take longer than a call may.
        """
        if not head.in_objects:
            return self.store.items(head)
        with self._object_reads:
            while not self._check_room() and not self._owned.is_stopping:
                gevent.sleep(ROOM_POLL_S)
            return self.store.items(head)
