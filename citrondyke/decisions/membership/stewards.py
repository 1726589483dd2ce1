"""Which instance looks after which backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.ids import AvailabilityZone, InstanceId, ServerId

__all__ = ('steward_of',)


def steward_of(
    server_id: ServerId,
    zone: AvailabilityZone,
    live: Iterable[tuple[InstanceId, AvailabilityZone]],
) -> InstanceId | None:
    """Choose a server's steward by rendezvous hashing, its own zone first.

    Two instances that see different members may both think that they are it. That costs some
    tail latency until they agree, and nothing else.
    """
    best: tuple[bool, int, InstanceId] | None = None
    for instance_id, instance_zone in live:
        rank = (instance_zone == zone, rendezvous_weight(instance_id, server_id), instance_id)
        if best is None or rank > best:
            best = rank
    return None if best is None else best[2]
