"""Whose turn it is to take a job over from an instance that is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('LiveInstances', 'Takeover')

#: Silence after which an instance is taken for gone: three heartbeats, one of which may be late.
SILENT_MS = 3_000.0
#: Time that the instance whose turn it is has before the next one may claim too; it may be out
#: of the store's reach without knowing it.
TURN_MS = 2_000.0


class _Seen(msgspec.Struct):
    life: str
    version: int
    changed_ms: float


class LiveInstances:
    """Instances by their heartbeats in the store, judged on this instance's own clock.

    Time in which the store did not answer does not count: nobody could renew anything, and all
    would take over from all.
    """

    def __init__(self, context: Context) -> None:
        """Start knowing nobody."""
        self._context = context
        self._seen: dict[InstanceId, _Seen] = {}
        self._last_look_ms = 0.0

    def note(self, instance_id: InstanceId, life: str, version: int) -> None:
        """Take in a heartbeat's row."""
        seen = self._seen.get(instance_id)
        if seen is not None and version <= seen.version:
            return
        self._seen[instance_id] = _Seen(life, version, self._context.now_ms())

    def note_gone(self, instance_id: InstanceId) -> None:
        """Take in that an instance took its row away."""
        self._seen.pop(instance_id, None)

    def note_look(self, longest_gap_ms: float) -> None:
        """Take note that the store was read; after a gap all silences begin anew."""
        now_ms = self._context.now_ms()
        if self._last_look_ms and now_ms - self._last_look_ms > longest_gap_ms:
            for seen in self._seen.values():
                seen.changed_ms = now_ms
        self._last_look_ms = now_ms

    def is_alive(self, instance_id: InstanceId, life: str) -> bool:
        """Tell whether one life of an instance still runs."""
        seen = self._seen.get(instance_id)
        if seen is None or seen.life != life:
            return False
        return self._context.now_ms() - seen.changed_ms < SILENT_MS

    def names(self) -> list[InstanceId]:
        """List the instances that are alive, this one included."""
        now_ms = self._context.now_ms()
        found = {
            instance_id
            for instance_id, seen in self._seen.items()
            if now_ms - seen.changed_ms < SILENT_MS
        }
        found.add(self._context.instance_id)
        return sorted(found)


class Takeover:
    """Decides when this instance claims a job."""

    def __init__(self, context: Context, instances: LiveInstances) -> None:
        """Use what is known of the instances."""
        self._context = context
        self._instances = instances
        self._ownerless_since_ms: dict[str, float] = {}

    def is_due(self, head: JobHead) -> bool:
        """Tell whether this instance claims a job now.

        The instances take turns in an order of their own for each job, so that after the loss of
        many the work is spread and two seldom claim the same.
        """
        if self._instances.is_alive(head.owner, head.owner_life):
            self._ownerless_since_ms.pop(head.job_id, None)
            return False
        now_ms = self._context.now_ms()
        since_ms = self._ownerless_since_ms.setdefault(head.job_id, now_ms)
        order = sorted(
            self._instances.names(),
            key=lambda name: rendezvous_weight(name, head.job_id),
            reverse=True,
        )
        turn = order.index(self._context.instance_id)
        return now_ms - since_ms >= turn * TURN_MS

    def forget(self, job_id: str) -> None:
        """Drop what is known of a job that is over."""
        self._ownerless_since_ms.pop(job_id, None)
