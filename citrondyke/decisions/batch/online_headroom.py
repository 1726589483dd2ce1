"""Capacity of a service that batch items leave free for online requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ServiceName

__all__ = ('OnlineHeadroom',)

#: Time until a rise of online load is known to the owners of batch items and runs are preempted for
#: it. A preempted run resumes on another server after its last event, so the headroom need cover
#: only the requests that arrive within this time.
RISE_WINDOW_MS = 50.0
#: Time for which rises are remembered, in buckets: bursts and quiet phases last for seconds, and
#: each needs a headroom of its own.
RISE_MEMORY_MS = 2_000.0
RISE_BUCKET_MS = 1_000.0
#: During this time after the first sample, the rise is assumed to be a fixed part of the current
#: online load.
WARMUP_MS = 1_000.0
WARMUP_RISE_PART = 0.125
#: Longest gap between samples; after a longer one the older samples are no base to compare with.
SAMPLE_GAP_MS = 500.0


class _Sample(msgspec.Struct, frozen=True):
    at_ms: float
    online: int


class _LoadHistory(msgspec.Struct):
    since_ms: float
    samples: deque[_Sample]
    #: Largest rise by bucket number.
    rises: dict[int, int]


class OnlineHeadroom:
    """Sizes the headroom by recent bursts of online requests.

    Handles bursts that arrive while long batch items fill the servers. One unit of capacity on
    each server is too much headroom over many servers: 45 of 360 stayed unused while a wave of
    items waited.
    """

    def __init__(self, context: Context) -> None:
        """Start without samples."""
        self._context = context
        self._histories: dict[ServiceName, _LoadHistory] = {}
        #: Headroom as of the last choice of a server.
        self.by_service: dict[ServiceName, int] = {}

    def observe(self, service: ServiceName, online: int) -> None:
        """Record the number of online requests on the servers of a service."""
        now_ms = self._context.now_ms()
        history = self._histories.get(service)
        if history is None or now_ms - history.samples[-1].at_ms > SAMPLE_GAP_MS:
            history = self._histories[service] = _LoadHistory(now_ms, deque(), {})
        samples = history.samples
        samples.append(_Sample(now_ms, online))
        while now_ms - samples[0].at_ms > RISE_WINDOW_MS:
            samples.popleft()
        bucket = int(now_ms // RISE_BUCKET_MS)
        for old in [
            each for each in history.rises if each < bucket - RISE_MEMORY_MS / RISE_BUCKET_MS
        ]:
            del history.rises[old]
        rise = online - min(each.online for each in samples)
        history.rises[bucket] = max(history.rises.get(bucket, 0), rise)

    def headroom_for(self, service: ServiceName, servers_count: int) -> int:
        """Return the capacity to leave free: at least one, at most one for each server."""
        self.by_service[service] = count = self._count(service, servers_count)
        return count

    def _count(self, service: ServiceName, servers_count: int) -> int:
        history = self._histories.get(service)
        if history is None:
            return servers_count
        mean_rise = sum(history.rises.values()) / len(history.rises)
        if self._context.now_ms() - history.since_ms < WARMUP_MS:
            mean_rise = WARMUP_RISE_PART * history.samples[-1].online
        return max(1, min(servers_count, round(mean_rise)))
