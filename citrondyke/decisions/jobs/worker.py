"""Runs the items of the segments that this instance holds."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.core.ops import (
    Spawn,
    read_rows,
    sleep_until,
    wait_for,
)
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.jobs.item_runner import ItemRunner, must_run_isolated
from citrondyke.decisions.jobs.outcome_committer import OutcomeCommitter
from citrondyke.decisions.jobs.pending_items import PendingItems
from citrondyke.decisions.jobs.rows import (
    JobRow,
    JobState,
    job_row_key,
)
from citrondyke.ids import JobId, RowKey, TargetName
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.core.ops import Workflow
    from citrondyke.decisions.crashes.engine_crash_guard import EngineCrashGuard
    from citrondyke.decisions.jobs.batch_item import BatchItem
    from citrondyke.decisions.jobs.held_segment import HeldSegment
    from citrondyke.decisions.jobs.segment_claimer import SegmentClaimer
    from citrondyke.decisions.jobs.sweeper import Sweeper
    from citrondyke.decisions.steward import Steward
    from citrondyke.ids import RequestId, SoftwareVersion

__all__ = ('Worker', 'WorkerLimits')

#: Time allowed for the remaining commits at a planned stop.
COMMIT_TIMEOUT_MS = 30_000.0
#: Poll interval of a target without waiting items; changes wake the workflow earlier.
IDLE_POLL_MS = 2000.0
#: Largest factor by which the poll interval for segments grows while none is found.
MAX_PAUSE_GROWTH = 8
#: Poll interval for the states of jobs whose segments are held.
JOB_POLL_MS = 1000.0


class WorkerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of an instance's batch work."""

    #: Longest time until outcomes are committed, from the first uncommitted one on.
    part_every_ms: float
    #: Concurrently held segments of each target.
    held_limit: int
    #: Poll interval of a target with waiting items.
    poll_every_ms: float


class Worker:
    """Claims segments, dispatches their items and commits outcomes, for all targets."""

    def __init__(
        self,
        context: Context,
        claimer: SegmentClaimer,
        sweeper: Sweeper,
        steward: Steward,
        limits: WorkerLimits,
        crashes: EngineCrashGuard | None = None,
    ) -> None:
        """Start with the given collaborators."""
        self._context = context
        self._claimer = claimer
        self._sweeper = sweeper
        self._steward = steward
        self._limits = limits
        self._pending: dict[TargetName, PendingItems] = {}
        self._held: dict[RowKey, HeldSegment] = {}
        self._runner = ItemRunner(context, crashes)
        self._committer = OutcomeCommitter(context, self._drop_segment)
        self._is_leaving = False
        self._emptied: Signal[None] = Signal()

    @property
    def held_count(self) -> int:
        """Return the number of held segments."""
        return len(self._held)

    def run_target(self, target: TargetName) -> Workflow[None]:
        """Run items of one target while this instance is steward of servers of it."""
        pending = self._pending[target] = PendingItems()
        yield Spawn(self._claim_for(target, pending))
        while not self._is_leaving and self._steward.serves(target):
            # Taken before the check, so that any change after it fires this signal.
            changed = pending.next_wake()
            for workflow in self._start_items(target, pending):
                yield Spawn(workflow)
            now_ms = self._context.now_ms()
            until_ms = now_ms + IDLE_POLL_MS
            if len(pending):
                until_ms = now_ms + self._limits.poll_every_ms
                until_ms = min(until_ms, self._steward.next_capacity_ms(target))
            yield from wait_for(changed, until_ms)
        del self._pending[target]
        for held in list(self._held.values()):
            if held.job.target == target:
                self._release(held)

    def poll_jobs(self) -> Workflow[None]:
        """Poll the states of jobs forever, to find cancelled jobs whose notice was lost."""
        while True:
            yield from sleep_until(self._context.now_ms() + JOB_POLL_MS)
            keys = {job_row_key(held.job_id) for held in self._held.values()}
            if not keys:
                continue
            found = yield from read_rows(*sorted(keys))
            if isinstance(found, PlatformFailure):
                continue
            for held in list(self._held.values()):
                row = found.get(job_row_key(held.job_id))
                if row is None or _job_state(row.value) is not JobState.RUNNING:
                    self._drop_segment(held)

    def stop_job(self, job_id: JobId) -> None:
        """Abort all work on a cancelled job."""
        for held in list(self._held.values()):
            if held.job_id == job_id:
                self._drop_segment(held)

    def holds(self, key: RowKey) -> bool:
        """Return whether a segment is held."""
        return key in self._held

    def preempt(self, request_ids: list[RequestId]) -> None:
        """Preempt items whose capacity online requests need; they resume later."""
        self._runner.preempt(request_ids)

    def wake(self, target: TargetName) -> None:
        """Check again whether an item of a target can start."""
        pending = self._pending.get(target)
        if pending is not None:
            pending.wake.fire(None)

    def drain(self, until_ms: float) -> Workflow[None]:
        """Release all segments; running items may finish until ``until_ms``, none starts."""
        self._is_leaving = True
        for held in list(self._held.values()):
            self._release(held)
        if self._held:
            yield from wait_for(self._emptied, until_ms)
        for held in list(self._held.values()):
            held.cancel_all()
        if self._held:
            yield from wait_for(self._emptied, until_ms + COMMIT_TIMEOUT_MS)

    def _claim_for(self, target: TargetName, pending: PendingItems) -> Workflow[None]:
        """Claim segments so that enough items wait for the servers."""
        pause_growth = 1
        while self._pending.get(target) is pending:
            held = None
            if self._needs_segment(target, pending):
                held = yield from self._claimer.claim(target)
            if held is None:
                pause_ms = pause_growth * self._steward.poll_interval_ms(target)
                pause_growth = min(pause_growth * 2, MAX_PAUSE_GROWTH)
                yield from sleep_until(self._context.now_ms() + self._context.jittered_ms(pause_ms))
                continue
            pause_growth = 1
            self._held[held.key] = held
            # While the claim is in progress, the target can move to another instance or this one
            # can begin to drain. The queue of the target is then closed and its items would never
            # start, and no other instance may claim the segment while its holder is alive: the job
            # would never finish.
            held.is_releasing = self._is_leaving or self._pending.get(target) is not pending
            yield Spawn(self._supervise_segment(held, pending))

    def _needs_segment(self, target: TargetName, pending: PendingItems) -> bool:
        held = [each for each in self._held.values() if each.job.target == target]
        if len(held) >= self._limits.held_limit or not all(each.is_queued for each in held):
            return False
        return len(pending) < self._steward.pending_items_target(target)

    def _start_items(self, target: TargetName, pending: PendingItems) -> list[Workflow[None]]:
        """Start items on all servers with free capacity."""
        started: list[Workflow[None]] = []
        while self._runner.has_suspects and (blocked := pending.pop(self._runner.is_hopeless)):
            self._runner.fail_blocked(*blocked)
        shares = self._steward.shares_of(target)
        reserved = self._runner.reserve_isolation_server(pending, shares)
        versions = {self._steward.version_of(server_id) for server_id, _ in shares}
        for server_id, share in shares:
            if server_id == reserved:
                if not self._runner.may_run_isolated(server_id, share):
                    continue
                if (suspect := pending.pop_suspect()) is not None:
                    version = self._steward.version_of(server_id)
                    started.append(self._runner.begin(*suspect, server_id, share, pending, version))
                continue
            free_capacity = share.free_capacity(self._context.now_ms())
            version = self._steward.version_of(server_id)
            while free_capacity > 0:
                taken = pending.pop(partial(self._may_run_at, version, versions))
                if taken is None:
                    break
                free_capacity -= 1
                started.append(self._runner.begin(*taken, server_id, share, pending, version))
        return started

    def _may_run_at(
        self,
        version: SoftwareVersion | None,
        versions: Collection[SoftwareVersion | None],
        item: BatchItem,
    ) -> bool:
        return _may_run_at(version, versions, item) and self._runner.may_send(item)

    def _supervise_segment(self, held: HeldSegment, pending: PendingItems) -> Workflow[None]:
        """Supervise a held segment until it is finished, lost or released."""
        while not held.is_lost:
            # Taken before the check, so that any change after it fires this signal.
            changed = held.next_wake()
            if held.records_starts and not held.is_releasing:
                window = held.next_window()
                if window:
                    # The items are marked as started before they are dispatched, so that after a
                    # crash of this holder the row shows which items it may have run.
                    if not (yield from self._committer.commit_part(held)):
                        break
                    _queue_items(held, window, pending)
            elif not held.is_releasing and (window := held.next_window()):
                _queue_items(held, window, pending)
            if not held.unfinished or (held.is_releasing and not held.running_count):
                is_committed = yield from self._committer.commit_part(held)
                if not is_committed or not held.remaining or held.is_unowned:
                    break
                continue
            until_ms = self._context.now_ms() + self._limits.part_every_ms
            fired = yield from wait_for(changed, until_ms)
            if not fired and held.outcomes and not held.is_lost:
                yield from self._committer.commit_part(held)
        self._forget(held)
        pending.wake.fire(None)
        if not held.is_lost and not held.remaining:
            yield from self._sweeper.finish(held.job_id)

    def _release(self, held: HeldSegment) -> None:
        held.is_releasing = True
        held.wake_up()

    def _drop_segment(self, held: HeldSegment) -> None:
        held.mark_lost()
        self._forget(held)

    def _forget(self, held: HeldSegment) -> None:
        if self._held.get(held.key) is held:
            del self._held[held.key]
        if not self._held and self._is_leaving:
            self._emptied.fire(None)


def _queue_items(held: HeldSegment, window: list[BatchItem], pending: PendingItems) -> None:
    unisolated = [item for item in window if not must_run_isolated(item)]
    if unisolated:
        pending.push(held, unisolated)
    for item in window:
        if must_run_isolated(item):
            pending.push_suspect(held, item)


def _may_run_at(
    version: SoftwareVersion | None, versions: Collection[SoftwareVersion | None], item: BatchItem
) -> bool:
    """Return whether an item may run at a server of a version.

    An interrupted item waits for servers of the version that began it, while there are any.
    """
    return (
        not item.frames
        or item.software_version == version
        or (item.software_version not in versions)
    )


def _job_state(value: msgspec.Raw) -> JobState:
    return msgspec.json.decode(value, type=JobRow).state
