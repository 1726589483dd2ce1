"""Queries about the other instances and the open jobs of the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from citrondyke.decisions.batch.job import JobHead
from citrondyke.ids import InstanceId

__all__ = ('FleetQueries',)


class FleetQueries(msgspec.Struct, frozen=True):
    """Queries that the accounting of token shares makes to membership and to the job claimer."""

    #: Returns the heads of the known open jobs.
    heads: Callable[[], Iterable[JobHead]]
    #: Returns for how long an incarnation of an instance has been dead, given the version of a row
    #: that it wrote and the time at which that row was first seen; ``None`` if it is alive.
    dead_for_ms: Callable[[InstanceId, str, int, float], float | None]
    #: Returns the incarnations of the other instances.
    lives: Callable[[], Iterable[str]]
