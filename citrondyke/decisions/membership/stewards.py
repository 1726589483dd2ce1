"""Assignment of backend servers to stewards."""

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
    """Choose a server's steward by rendezvous hashing, preferring the server's zone.

    Instances with different membership views may both consider themselves the steward. Until they
    agree this costs some tail latency, and nothing else.
    """
    best: tuple[bool, int, InstanceId] | None = None
    for instance_id, instance_zone in live:
        rank = (instance_zone == zone, rendezvous_weight(instance_id, server_id), instance_id)
        if best is None or rank > best:
            best = rank
    return None if best is None else best[2]
