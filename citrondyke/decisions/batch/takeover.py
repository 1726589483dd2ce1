"""Which instance takes over the jobs of a dead instance, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, JobId

__all__ = ('InstanceLiveness', 'TakeoverSchedule')

#: Time without a heartbeat after which an instance counts as dead: three intervals, so that one
#: heartbeat may be late.
HEARTBEAT_TIMEOUT_MS = 3_000.0
#: Time for which one instance alone may claim a job before the next one may, too. The first one may
#: be cut off from the store without knowing it.
ROTATION_MS = 600.0
#: Longer than an acceptance is retried, so that a job is not claimed during its acceptance.
OWN_CLAIM_DELAY_MS = 2_500.0
#: Time from an instance's first poll of heartbeats until it claims jobs. After a restart of the
#: whole fleet, instances start within 300 ms of each other and appear in the next poll, one second
#: later.
SETTLE_MS = 700.0
#: Longest regular interval between two own heartbeats: one is written every 900 ms, and the write
#: may take 300 ms.
HEARTBEAT_GAP_MS = 1_700.0
#: Longest regular interval between two polls of the heartbeats; they are polled every second.
POLL_GAP_MS = 2_000.0
#: Incarnations remembered after the removal of their rows: twice the size of a large fleet.
REMOVED_LIMIT = 2_000


class _Heartbeat(msgspec.Struct):
    life: str
    version: int
    renewed_ms: float
    #: When this incarnation was first seen.
    since_ms: float


class _HeadState(msgspec.Struct):
    version: int
    since_ms: float
    dead_since_ms: float | None = None


class InstanceLiveness:
    """Liveness of instances by their heartbeats in the store, on this instance's own clock.

    Timeouts run only while this instance's own heartbeats are written. The store may reject writes
    and still serve reads, for all rows or for the part that holds the heartbeats. No instance could
    renew its heartbeat then, and all instances would repeatedly take over each other's jobs.
    """

    def __init__(self, context: Context) -> None:
        """Start without known instances."""
        self._context = context
        self._heartbeats: dict[InstanceId, _Heartbeat] = {}
        #: Times of death of incarnations whose rows were removed, in the order of removal.
        self._removed: dict[str, float] = {}
        self._heartbeat_seen_ms = float('-inf')
        self._polled_ms = float('-inf')
        self._first_poll_ms = 0.0
        #: Factor by which heartbeat intervals and timeouts exceed those of a small fleet.
        self.timeout_factor = 1.0

    def record_row(self, instance_id: InstanceId, incarnation: str, version: int) -> bool:
        """Record the row of a heartbeat; return whether its version is new."""
        heartbeat = self._heartbeats.get(instance_id)
        if heartbeat is not None and version <= heartbeat.version:
            return False
        now_ms = self._context.now_ms()
        is_known_incarnation = heartbeat is not None and heartbeat.life == incarnation
        since_ms = heartbeat.since_ms if heartbeat is not None and is_known_incarnation else now_ms
        self._heartbeats[instance_id] = _Heartbeat(incarnation, version, now_ms, since_ms)
        return True

    def record_removed(self, instance_id: InstanceId) -> None:
        """Record that a row was removed, by its instance or after a long time without renewal."""
        heartbeat = self._heartbeats.pop(instance_id, None)
        if heartbeat is None:
            return
        now_ms = self._context.now_ms()
        self._removed[heartbeat.life] = min(
            now_ms, heartbeat.renewed_ms + HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        )
        while len(self._removed) > REMOVED_LIMIT:
            del self._removed[next(iter(self._removed))]

    def record_own_heartbeat(self) -> None:
        """Record that an own heartbeat was written; restart all timeouts after a gap."""
        now_ms = self._context.now_ms()
        if not self.is_own_heartbeat_fresh:
            self._restart_timeouts(now_ms)
        self._heartbeat_seen_ms = now_ms

    def record_poll(self) -> None:
        """Record that the heartbeats were polled; restart all timeouts after a gap."""
        now_ms = self._context.now_ms()
        if not self._is_polling:
            self._first_poll_ms = now_ms
            self._restart_timeouts(now_ms)
        self._polled_ms = now_ms

    @property
    def is_own_heartbeat_fresh(self) -> bool:
        """Return whether this instance's own heartbeats are being written."""
        return (
            self._context.now_ms() - self._heartbeat_seen_ms
            <= HEARTBEAT_GAP_MS * self.timeout_factor
        )

    def is_dead(
        self, owner: InstanceId, incarnation: str, row_version: int, since_ms: float
    ) -> bool:
        """Return whether the owner of a job is known dead or has exceeded the heartbeat timeout.

        :param row_version: version of the row that names the owner.
        :param since_ms: when this instance first saw that version.
        """
        return self.dead_for_ms(owner, incarnation, row_version, since_ms) is not None

    def dead_for_ms(
        self, owner: InstanceId, incarnation: str, row_version: int, since_ms: float
    ) -> float | None:
        """Return for how long an owner has been dead; ``None`` if it is not known to be.

        :param row_version: version of the row that names the owner.
        :param since_ms: when this instance first saw that version.
        """
        if not owner:
            return float('inf')
        now_ms = self._context.now_ms()
        heartbeat = self._heartbeats.get(owner)
        if (
            heartbeat is not None
            and heartbeat.life != incarnation
            and heartbeat.version > row_version
        ):
            # A later incarnation of the owner started after that row was written.
            return now_ms - heartbeat.since_ms
        if heartbeat is None and incarnation in self._removed:
            # Counts from the removal rather than from since_ms: the owner ran on until then, and
            # its last writes may still take effect.
            return now_ms - self._removed[incarnation]
        # An unknown incarnation may have just started and claimed the job before its first
        # heartbeat was polled here; if it counted as dead, instances would claim jobs from each
        # other. A recently written head also shows that its owner was alive at that time.
        last_alive_ms = since_ms
        if heartbeat is not None and heartbeat.life == incarnation:
            last_alive_ms = max(since_ms, heartbeat.renewed_ms)
        overdue_ms = now_ms - last_alive_ms - HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        return overdue_ms if overdue_ms >= 0 else None

    @property
    def has_polled(self) -> bool:
        """Return whether the heartbeats were polled at least once."""
        return self._polled_ms > float('-inf')

    @property
    def count(self) -> int:
        """Return the number of instances that have a row, this one included."""
        return max(1, len(self._heartbeats))

    @property
    def is_settled(self) -> bool:
        """Return whether all running instances had time to appear since polling began."""
        if not self.is_own_heartbeat_fresh or not self._is_polling:
            return False
        return self._context.now_ms() - self._first_poll_ms >= SETTLE_MS

    def unresponsive(self, longest_ms: float) -> list[InstanceId]:
        """List the peers without a heartbeat for ``longest_ms``; none before the state settles."""
        if not self.is_settled:
            return []
        now_ms = self._context.now_ms()
        return [
            instance_id
            for instance_id, heartbeat in self._heartbeats.items()
            if now_ms - heartbeat.renewed_ms >= longest_ms
            and instance_id != self._context.instance_id
        ]

    @property
    def _is_polling(self) -> bool:
        return self._context.now_ms() - self._polled_ms <= POLL_GAP_MS * self.timeout_factor

    def _restart_timeouts(self, now_ms: float) -> None:
        for heartbeat in self._heartbeats.values():
            heartbeat.renewed_ms = now_ms

    def live_instances(self) -> list[InstanceId]:
        """List the live instances, this one included, in sorted order."""
        now_ms = self._context.now_ms()
        found = {
            instance_id
            for instance_id, heartbeat in self._heartbeats.items()
            if now_ms - heartbeat.renewed_ms < HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        }
        found.add(self._context.instance_id)
        return sorted(found)


class TakeoverSchedule:
    """Decides when this instance claims a job."""

    def __init__(self, context: Context, incarnation: str, instances: InstanceLiveness) -> None:
        """Start without known jobs.

        :param incarnation: id of this incarnation of this instance.
        """
        self._context = context
        self._incarnation = incarnation
        self._instances = instances
        self._heads: dict[JobId, _HeadState] = {}

    @property
    def has_polled_instances(self) -> bool:
        """Return whether the heartbeats of instances were polled at least once."""
        return self._instances.has_polled

    def is_due(self, head: JobHead, version: int) -> bool:
        """Return whether this instance is to claim a job that it does not run.

        Instances may claim a job one after another, in an order that differs from job to job. After
        the loss of many instances this spreads the jobs over the rest, and two instances seldom
        claim the same job.

        :param version: version of the head's row.
        """
        now_ms = self._context.now_ms()
        state = self._heads.get(head.job_id)
        if state is None or state.version != version:
            state = self._heads[head.job_id] = _HeadState(version, now_ms)
        if head.owner_life == self._incarnation:
            # The reply to its acceptance was lost; no other instance claims it while this one
            # is alive.
            return now_ms - state.since_ms >= OWN_CLAIM_DELAY_MS
        if head.owner == self._context.instance_id:
            # Owned by an earlier incarnation of this instance, which is certainly dead.
            return True
        if not self._instances.is_settled or not self._instances.is_dead(
            head.owner, head.owner_life, version, state.since_ms
        ):
            state.dead_since_ms = None
            return False
        if state.dead_since_ms is None:
            state.dead_since_ms = now_ms
        order = sorted(
            self._instances.live_instances(),
            key=lambda name: rendezvous_weight(name, head.job_id),
            reverse=True,
        )
        rank = order.index(self._context.instance_id)
        return now_ms - state.dead_since_ms >= rank * ROTATION_MS

    def forget(self, job_id: JobId) -> None:
        """Drop the state of a finished job."""
        self._heads.pop(job_id, None)
