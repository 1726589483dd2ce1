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
#: Time after an online request for which others are expected. A later one that meets items on all
#: servers waits until one is preempted, tens of ms.
ONLINE_MEMORY_MS = 2_000.0
#: Part of the capacity that is kept free at most. One unit on each server would be all capacity of
#: servers of one slot, and no item would ever start on them.
MAX_HEADROOM_SHARE = 0.5


class _Sample(msgspec.Struct, frozen=True):
    at_ms: float
    online: int


class _LoadHistory(msgspec.Struct):
    since_ms: float
    samples: deque[_Sample]
    #: Largest rise by bucket number.
    rises: dict[int, int]
    #: When an online request was last seen, at this zone's servers or elsewhere.
    last_online_ms: float


class OnlineHeadroom:
    """Sizes the headroom by the capacity and by recent online requests.

    Handles bursts that arrive while long batch items fill the servers. In a small fleet each server
    needs headroom of its own, because there are few servers to use instead. Over many servers one
    unit on each is too much: 45 of 360 stayed unused while a wave of items waited.
    """

    def __init__(self, context: Context) -> None:
        """Start without samples."""
        self._context = context
        self._histories: dict[ServiceName, _LoadHistory] = {}
        #: Headroom as of the last choice of a server, remote zones of a large fleet left out.
        self.by_service: dict[ServiceName, int] = {}

    def observe(self, service: ServiceName, online: int, *, is_online: bool) -> None:
        """Record the number of online requests on the servers of a service.

        :param online: on the servers whose counts are exchanged at once.
        :param is_online: whether any of its servers has an online request.
        """
        now_ms = self._context.now_ms()
        history = self._histories.get(service)
        if history is None or now_ms - history.samples[-1].at_ms > SAMPLE_GAP_MS:
            # Until the service has been observed for long enough, requests are expected.
            history = self._histories[service] = _LoadHistory(now_ms, deque(), {}, now_ms)
        if is_online:
            history.last_online_ms = now_ms
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

    def headroom_on_each(
        self, service: ServiceName, servers_count: int, capacity_count: int
    ) -> int:
        """Return the capacity to leave free if each of some servers needs its own.

        :param servers_count: servers with free capacity.
        :param capacity_count: capacity of all eligible servers, used or free.
        """
        if not self._is_online_expected(service):
            return 0
        return min(servers_count, int(capacity_count * MAX_HEADROOM_SHARE))

    def headroom_by_rises(
        self, service: ServiceName, servers_count: int, capacity_count: int
    ) -> int:
        """Return the capacity to leave free if the servers can replace each other.

        The parameters are those of ``headroom_on_each``, which it does not exceed.
        """
        limit = self.headroom_on_each(service, servers_count, capacity_count)
        history = self._histories.get(service)
        if history is None:
            return limit
        mean_rise = sum(history.rises.values()) / len(history.rises)
        if self._context.now_ms() - history.since_ms < WARMUP_MS:
            mean_rise = WARMUP_RISE_PART * history.samples[-1].online
        return min(limit, max(1, round(mean_rise)))

    def _is_online_expected(self, service: ServiceName) -> bool:
        history = self._histories.get(service)
        return history is None or self._context.now_ms() - history.last_online_ms < ONLINE_MEMORY_MS
