"""How many places batch items leave free for online requests, over a service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName

__all__ = ('OnlineHeadroom',)

#: Until a rise is heard of and runs are cut for it. A run that is cut goes on elsewhere behind its
#: last event, so that no more need be kept than what comes meanwhile.
RISE_WINDOW_MS = 50.0
#: Rises are remembered this long, by parts: bursts and calms last seconds, and each needs its own.
RISE_MEMORY_MS = 2_000.0
RISE_BUCKET_MS = 1_000.0
#: Before it has watched so long, the rise is taken for a part of what is there.
WARMUP_MS = 1_000.0
WARMUP_RISE_PART = 0.125
#: Without a look for this long, what was seen before is no base to measure from.
SAMPLE_GAP_MS = 500.0


class _Sample(msgspec.Struct, frozen=True):
    at_ms: float
    online: int


class _LoadHistory(msgspec.Struct):
    since_ms: float
    samples: deque[_Sample]
    #: Largest rise in each part of the memory.
    rises: dict[int, int]


class OnlineHeadroom:
    """Follows the bursts of online requests.

    Answers bursts beside a backlog of long items. A fixed place on each server is too much over
    many servers: 45 of 360 places stood free while a wave of items waited for the rest.
    """

    def __init__(self, context: Context) -> None:
        """Start without having watched."""
        self._context = context
        self._watched: dict[ServiceName, _LoadHistory] = {}
        #: Places kept, as of the last choice of a server.
        self.by_service: dict[ServiceName, int] = {}

    def observe(self, service: ServiceName, online: int) -> None:
        """Take in how many online requests are on the servers."""
        now_ms = self._context.now_ms()
        watched = self._watched.get(service)
        if watched is None or now_ms - watched.samples[-1].at_ms > SAMPLE_GAP_MS:
            watched = self._watched[service] = _LoadHistory(now_ms, deque(), {})
        samples = watched.samples
        samples.append(_Sample(now_ms, online))
        while now_ms - samples[0].at_ms > RISE_WINDOW_MS:
            samples.popleft()
        part = int(now_ms // RISE_BUCKET_MS)
        for old in [
            each for each in watched.rises if each < part - RISE_MEMORY_MS / RISE_BUCKET_MS
        ]:
            del watched.rises[old]
        rise = online - min(each.online for each in samples)
        watched.rises[part] = max(watched.rises.get(part, 0), rise)

    def headroom_for(self, service: ServiceName, servers_count: int) -> int:
        """Count the places to leave free; one on each server at the most, and one in any case."""
        self.by_service[service] = count = self._count(service, servers_count)
        return count

    def _count(self, service: ServiceName, servers_count: int) -> int:
        watched = self._watched.get(service)
        if watched is None:
            return servers_count
        usual = sum(watched.rises.values()) / len(watched.rises)
        if self._context.now_ms() - watched.since_ms < WARMUP_MS:
            usual = WARMUP_RISE_PART * watched.samples[-1].online
        return max(1, min(servers_count, round(usual)))
