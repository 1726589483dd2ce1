"""How many places batch items leave free for online requests, over a service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName

__all__ = ('KeptPlaces',)

#: Until a rise is heard of and runs are cut for it. A run that is cut goes on elsewhere behind its
#: last event, so that no more need be kept than what comes meanwhile.
RISE_MS = 50.0
#: Rises are remembered this long, by parts: bursts and calms last seconds, and each needs its own.
MEMORY_MS = 2_000.0
PART_MS = 1_000.0
#: Before it has watched so long, the rise is taken for a part of what is there.
WATCHED_MS = 1_000.0
RISE_PART = 0.125
#: Without a look for this long, what was seen before is no base to measure from.
GAP_MS = 500.0


class _Sample(msgspec.Struct, frozen=True):
    at_ms: float
    online: int


class _Watched(msgspec.Struct):
    since_ms: float
    samples: deque[_Sample]
    #: Largest rise in each part of the memory.
    rises: dict[int, int]


class KeptPlaces:
    """Follows the bursts of online requests.

    Answers bursts beside a backlog of long items. A fixed place on each server is too much over
    many servers: 45 of 360 places stood free while a wave of items waited for the rest.
    """

    def __init__(self, context: Context) -> None:
        """Start without having watched."""
        self._context = context
        self._watched: dict[ServiceName, _Watched] = {}
        #: Places kept, as of the last choice of a server.
        self.counts: dict[ServiceName, int] = {}

    def note(self, service: ServiceName, online: int) -> None:
        """Take in how many online requests are on the servers."""
        now_ms = self._context.now_ms()
        watched = self._watched.get(service)
        if watched is None or now_ms - watched.samples[-1].at_ms > GAP_MS:
            watched = self._watched[service] = _Watched(now_ms, deque(), {})
        samples = watched.samples
        samples.append(_Sample(now_ms, online))
        while now_ms - samples[0].at_ms > RISE_MS:
            samples.popleft()
        part = int(now_ms // PART_MS)
        for old in [each for each in watched.rises if each < part - MEMORY_MS / PART_MS]:
            del watched.rises[old]
        rise = online - min(each.online for each in samples)
        watched.rises[part] = max(watched.rises.get(part, 0), rise)

    def count(self, service: ServiceName, servers_count: int) -> int:
        """Count the places to leave free; one on each server at the most, and one in any case."""
        self.counts[service] = count = self._count(service, servers_count)
        return count

    def _count(self, service: ServiceName, servers_count: int) -> int:
        watched = self._watched.get(service)
        if watched is None:
            return servers_count
        usual = sum(watched.rises.values()) / len(watched.rises)
        if self._context.now_ms() - watched.since_ms < WATCHED_MS:
            usual = RISE_PART * watched.samples[-1].online
        return max(1, min(servers_count, round(usual)))
