"""What is known of the other instances and of the open jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from citrondyke.decisions.batch.job import JobHead
from citrondyke.ids import InstanceId

__all__ = ('FleetQueries',)


class FleetQueries(msgspec.Struct, frozen=True):
    """Ways to ask for it."""

    #: Heads of the open jobs that are known.
    heads: Callable[[], Iterable[JobHead]]
    #: For how long a life of an instance has been gone, by the version of a row that it wrote and
    #: the time at which that was first seen; ``None`` if it is not.
    dead_for_ms: Callable[[InstanceId, str, int, float], float | None]
    #: Lives of the other instances.
    lives: Callable[[], Iterable[str]]
