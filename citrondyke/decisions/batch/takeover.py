"""Whose turn it is to take a job over from an instance that is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId, JobId

__all__ = ('InstanceLiveness', 'TakeoverSchedule')

#: Silence after which an instance is taken for gone: three heartbeats, one of which may be late.
HEARTBEAT_TIMEOUT_MS = 3_000.0
#: Time that the instance whose turn it is has before the next one may claim too; it may be out
#: of the store's reach without knowing it.
ROTATION_MS = 600.0
#: Longer than an acceptance is tried for, so that it is not claimed in the middle of it.
OWN_CLAIM_DELAY_MS = 2_500.0
#: From an instance's first look at the others until it claims anything: after a stop of all of
#: them they start within 300 ms of each other and are seen by the next read, a second later.
SETTLE_MS = 700.0
#: Longest time between two written heartbeats that is no gap: one is written every 900 ms, and
#: the store can take 300 ms for it.
HEARTBEAT_GAP_MS = 1_700.0
#: Longest time between two reads of the others' heartbeats that is no gap; they are read every
#: second.
POLL_GAP_MS = 2_000.0
#: Lives that are remembered after their rows were taken away: all of a large fleet, twice.
REMOVED_LIMIT = 2_000


class _Seen(msgspec.Struct):
    life: str
    version: int
    renewed_ms: float
    #: When this life was first seen.
    since_ms: float


class _SeenHead(msgspec.Struct):
    version: int
    since_ms: float
    dead_since_ms: float | None = None


class InstanceLiveness:
    """Instances by their heartbeats in the store, judged on this instance's own clock.

    Only time in which this instance's own heartbeats were written counts. The store may refuse
    them while it shows the rows, for all instances or for the part that holds them: nobody could
    renew anything then, and all would take over from all, again and again.
    """

    def __init__(self, context: Context) -> None:
        """Start knowing nobody."""
        self._context = context
        self._seen: dict[InstanceId, _Seen] = {}
        #: Since when lives are gone whose rows were taken away, in that order.
        self._removed: dict[str, float] = {}
        self._heartbeat_ms = float('-inf')
        self._polled_ms = float('-inf')
        self._first_poll_ms = 0.0
        #: By how much heartbeats and looks are rarer than in a small fleet; silences grow with it.
        self.timeout_factor = 1.0

    def record_row(self, instance_id: InstanceId, incarnation: str, version: int) -> bool:
        """Take in a heartbeat's row; tell whether it is a new one."""
        seen = self._seen.get(instance_id)
        if seen is not None and version <= seen.version:
            return False
        now_ms = self._context.now_ms()
        is_known_incarnation = seen is not None and seen.life == incarnation
        since_ms = seen.since_ms if seen is not None and is_known_incarnation else now_ms
        self._seen[instance_id] = _Seen(incarnation, version, now_ms, since_ms)
        return True

    def record_removed(self, instance_id: InstanceId) -> None:
        """Take in that an instance's row was taken away, by itself or after a long silence."""
        seen = self._seen.pop(instance_id, None)
        if seen is None:
            return
        now_ms = self._context.now_ms()
        self._removed[seen.life] = min(
            now_ms, seen.renewed_ms + HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        )
        while len(self._removed) > REMOVED_LIMIT:
            del self._removed[next(iter(self._removed))]

    def record_own_heartbeat(self) -> None:
        """Take note that an own heartbeat was written; after a gap all silences begin anew."""
        now_ms = self._context.now_ms()
        if not self.is_own_heartbeat_fresh:
            self._restart_timeouts(now_ms)
        self._heartbeat_ms = now_ms

    def record_poll(self) -> None:
        """Take note that the others' heartbeats were read; a gap counts as one between own ones."""
        now_ms = self._context.now_ms()
        if not self._is_polling:
            self._first_poll_ms = now_ms
            self._restart_timeouts(now_ms)
        self._polled_ms = now_ms

    @property
    def is_own_heartbeat_fresh(self) -> bool:
        """Tell whether this instance's own heartbeats are written."""
        return self._context.now_ms() - self._heartbeat_ms <= HEARTBEAT_GAP_MS * self.timeout_factor

    def is_dead(
        self, owner: InstanceId, incarnation: str, row_version: int, since_ms: float
    ) -> bool:
        """Tell whether the owner of a job is certainly gone, or silent for too long.

        :param row_version: of the row in which the owner is named.
        :param since_ms: when this instance first saw that version of it.
        """
        return self.dead_for_ms(owner, incarnation, row_version, since_ms) is not None

    def dead_for_ms(
        self, owner: InstanceId, incarnation: str, row_version: int, since_ms: float
    ) -> float | None:
        """Give the time for which it is known that an owner is gone; ``None`` if it is not.

        :param row_version: of the row in which the owner is named.
        :param since_ms: when this instance first saw that version of it.
        """
        if not owner:
            return float('inf')
        now_ms = self._context.now_ms()
        seen = self._seen.get(owner)
        if seen is not None and seen.life != incarnation and seen.version > row_version:
            # Another life of it began after that row was written.
            return now_ms - seen.since_ms
        if seen is None and incarnation in self._removed:
            # Not since its row in question was seen: it ran on, and what it sent last may come.
            return now_ms - self._removed[incarnation]
        # A life that is not known here may have begun a moment ago and claimed the job before its
        # first heartbeat was read; if that counted as gone, all would claim from each other.
        # And a head that was written a moment ago shows that its owner was alive then.
        shown_ms = since_ms
        if seen is not None and seen.life == incarnation:
            shown_ms = max(since_ms, seen.renewed_ms)
        overdue_ms = now_ms - shown_ms - HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        return overdue_ms if overdue_ms >= 0 else None

    @property
    def has_polled(self) -> bool:
        """Tell whether the others' heartbeats were ever read."""
        return self._polled_ms > float('-inf')

    @property
    def count(self) -> int:
        """Count the instances whose rows are there, this one's included."""
        return max(1, len(self._seen))

    @property
    def is_settled(self) -> bool:
        """Tell whether all who run had the time to show it since this instance began to look."""
        if not self.is_own_heartbeat_fresh or not self._is_polling:
            return False
        return self._context.now_ms() - self._first_poll_ms >= SETTLE_MS

    def unresponsive(self, longest_ms: float) -> list[InstanceId]:
        """List the instances that were silent for longer, while that could be judged."""
        if not self.is_settled:
            return []
        now_ms = self._context.now_ms()
        return [
            instance_id
            for instance_id, seen in self._seen.items()
            if now_ms - seen.renewed_ms >= longest_ms and instance_id != self._context.instance_id
        ]

    @property
    def _is_polling(self) -> bool:
        return self._context.now_ms() - self._polled_ms <= POLL_GAP_MS * self.timeout_factor

    def _restart_timeouts(self, now_ms: float) -> None:
        for seen in self._seen.values():
            seen.renewed_ms = now_ms

    def live_instances(self) -> list[InstanceId]:
        """List the instances that are alive, this one included."""
        now_ms = self._context.now_ms()
        found = {
            instance_id
            for instance_id, seen in self._seen.items()
            if now_ms - seen.renewed_ms < HEARTBEAT_TIMEOUT_MS * self.timeout_factor
        }
        found.add(self._context.instance_id)
        return sorted(found)


class TakeoverSchedule:
    """Decides when this instance claims a job."""

    def __init__(self, context: Context, incarnation: str, instances: InstanceLiveness) -> None:
        """Use what is known of the instances.

        :param incarnation: names this life of this instance.
        """
        self._context = context
        self._incarnation = incarnation
        self._instances = instances
        self._seen: dict[JobId, _SeenHead] = {}

    @property
    def has_polled_instances(self) -> bool:
        """Tell whether the others' heartbeats were ever read."""
        return self._instances.has_polled

    def is_due(self, head: JobHead, version: int) -> bool:
        """Tell whether this instance claims a job that it does not run.

        The instances take turns in an order of their own for each job, so that after the loss of
        many the work is spread and two seldom claim the same.

        :param version: of the head's row.
        """
        now_ms = self._context.now_ms()
        seen = self._seen.get(head.job_id)
        if seen is None or seen.version != version:
            seen = self._seen[head.job_id] = _SeenHead(version, now_ms)
        if head.owner_life == self._incarnation:
            # An acceptance whose reply never came: nobody else takes it while this instance lives.
            return now_ms - seen.since_ms >= OWN_CLAIM_DELAY_MS
        if head.owner == self._context.instance_id:
            # An earlier life of this very instance: nobody knows better that it is over.
            return True
        if not self._instances.is_settled or not self._instances.is_dead(
            head.owner, head.owner_life, version, seen.since_ms
        ):
            seen.dead_since_ms = None
            return False
        if seen.dead_since_ms is None:
            seen.dead_since_ms = now_ms
        order = sorted(
            self._instances.live_instances(),
            key=lambda name: rendezvous_weight(name, head.job_id),
            reverse=True,
        )
        turn = order.index(self._context.instance_id)
        return now_ms - seen.dead_since_ms >= turn * ROTATION_MS

    def forget(self, job_id: JobId) -> None:
        """Drop what is known of a job that is over."""
        self._seen.pop(job_id, None)
