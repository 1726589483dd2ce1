"""How many places batch items leave free for online requests, over a service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName

__all__ = ('KeptPlaces',)

#: Spans over which rises are measured: the shortest is what counts take to come in, the longest
#: what a streamed request stays.
SPANS_MS = (50.0, 100.0, 200.0, 400.0, 800.0)
#: Rises are remembered this long; jumps of the traffic come seconds apart.
MEMORY_MS = 10_000.0
#: Rises are kept by parts of the memory.
PART_MS = 1_000.0
#: Before it has watched so long it knows of no rise, and keeps the most.
WATCHED_MS = 3_000.0
#: Without a look for this long, what was seen before is no base to measure from.
GAP_MS = 500.0


class _Sample(msgspec.Struct, frozen=True):
    at_ms: float
    online: int


class _Watched(msgspec.Struct):
    since_ms: float
    samples: deque[_Sample]
    #: Largest rise for each span, by part of the memory.
    rises: dict[int, list[float]]


class KeptPlaces:
    """Follows the bursts of online requests.

    Answers bursts beside a backlog of long items. What a burst needs is its rise, less the places
    that come free by themselves meanwhile; a fixed place on each server is too much over many
    servers and too little where a burst meets few.
    """

    def __init__(self, context: Context) -> None:
        """Start without having watched."""
        self._context = context
        self._watched: dict[ServiceName, _Watched] = {}

    def note(self, service: ServiceName, online: int, batch: int, run_ms: float) -> None:
        """Take in what is on the servers.

        :param batch: items on the same servers.
        :param run_ms: time that an item usually runs.
        """
        now_ms = self._context.now_ms()
        watched = self._watched.get(service)
        if watched is None or now_ms - watched.samples[-1].at_ms > GAP_MS:
            watched = self._watched[service] = _Watched(now_ms, deque(), {})
        samples = watched.samples
        samples.append(_Sample(now_ms, online))
        while now_ms - samples[0].at_ms > SPANS_MS[-1]:
            samples.popleft()
        part = int(now_ms // PART_MS)
        for old in [each for each in watched.rises if each < part - MEMORY_MS / PART_MS]:
            del watched.rises[old]
        rises = watched.rises.setdefault(part, [0.0] * len(SPANS_MS))
        ends_per_ms = batch / max(1.0, run_ms)
        for index, span_ms in enumerate(SPANS_MS):
            lowest = min(each.online for each in samples if now_ms - each.at_ms <= span_ms)
            # Nothing comes free for online requests before the rise is heard of.
            ended = ends_per_ms * (span_ms - SPANS_MS[0])
            rises[index] = max(rises[index], online - lowest - ended)

    def count(self, service: ServiceName, servers_count: int) -> int:
        """Count the places to leave free; one on each server at the most, and one in any case."""
        watched = self._watched.get(service)
        now_ms = self._context.now_ms()
        if watched is None or now_ms - watched.since_ms < WATCHED_MS:
            return servers_count
        needed = max(max(rises) for rises in watched.rises.values())
        return max(1, min(servers_count, round(needed)))
