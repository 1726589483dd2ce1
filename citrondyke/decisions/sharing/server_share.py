"""What a steward decides for one of its backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import ServerLoad
    from citrondyke.ids import InstanceId, RequestId

__all__ = ('ServerShare',)

#: An entry instance that says nothing for so long has nothing there any more.
NOTICE_EXPIRY_MS = 100_000.0
#: Reports are compared with the most that was known to run within this time before.
REPORT_WINDOW_MS = 1000.0
EXTERNAL_LOAD_SMOOTHING = 0.2


class ServerShare(ABC):
    """Counts what runs on a server and bounds the batch work on it."""

    def __init__(self) -> None:
        """Start with nothing running."""
        self._online: dict[InstanceId, tuple[int, float]] = {}
        self._online_sum = 0
        #: Batch requests by start, oldest first.
        self._batch: OrderedDict[RequestId, None] = OrderedDict()
        self._external_count = 0.0
        self._peak_count = 0
        self._peak_at_ms = 0.0

    @property
    def batch_count(self) -> int:
        """Count the batch requests on the server."""
        return len(self._batch)

    @property
    def online_count(self) -> int:
        """Count the online requests on the server, by the latest notices."""
        return self._online_sum

    @property
    def running_count(self) -> int:
        """Count everything on the server, with what others than us seem to run there."""
        return self._online_sum + len(self._batch) + int(self._external_count)

    def on_notice(self, instance_id: InstanceId, online_count: int, now_ms: float) -> bool:
        """Take in how many online requests an entry instance has on the server.

        :returns: whether there are more than it said before.
        """
        before = self._online.get(instance_id, (0, 0.0))[0]
        self._online_sum += online_count - before
        if online_count:
            self._online[instance_id] = (online_count, now_ms)
        else:
            self._online.pop(instance_id, None)
        return online_count > before

    def expire_notices(self, now_ms: float) -> None:
        """Drop what an instance said that has gone silent."""
        for instance_id, (_, heard_ms) in list(self._online.items()):
            if now_ms - heard_ms > NOTICE_EXPIRY_MS:
                self._drop_notice(instance_id)

    def retain_notices_of(self, live: set[InstanceId]) -> None:
        """Drop what instances said that are believed dead.

        An instance that died with requests in flight never says that they ended; without this
        they would keep batch work off the server for a long time.
        """
        for instance_id in [each for each in self._online if each not in live]:
            self._drop_notice(instance_id)

    def _drop_notice(self, instance_id: InstanceId) -> None:
        count, _ = self._online.pop(instance_id)
        self._online_sum -= count

    def on_batch_start(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that goes to the server."""
        self._batch[request_id] = None
        self._record_peak(now_ms)

    def on_batch_end(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that left the server."""
        self._record_peak(now_ms)
        self._batch.pop(request_id, None)

    def on_load(self, load: ServerLoad, now_ms: float) -> None:
        """Compare the server's own lagging report with what is known here.

        More than was known is another steward's work for a moment, or a caller from outside.
        """
        self._record_peak(now_ms)
        surplus = max(0, load.running + load.waiting - self._peak_count)
        self._external_count += EXTERNAL_LOAD_SMOOTHING * (surplus - self._external_count)
        if now_ms - self._peak_at_ms > REPORT_WINDOW_MS:
            self._peak_count = 0

    def free_capacity(self, now_ms: float) -> int:
        """Count the batch requests that may start now."""
        return max(0, self.fill_limit(now_ms) - self.running_count)

    def next_capacity_ms(self, now_ms: float) -> float:
        """Give when to look for room again, where time alone makes it; else infinity."""
        return float('inf')

    def runs_to_preempt(self, now_ms: float) -> list[RequestId]:
        """Name the batch requests that stand in the way of online ones, youngest first.

        The youngest have the least to do again when they resume.
        """
        excess = self.running_count - self.batch_preempt_limit(now_ms)
        if excess <= 0:
            return []
        return list(islice(reversed(self._batch), excess))

    @abstractmethod
    def fill_limit(self, now_ms: float) -> int:
        """Give how many requests in all batch work may fill the server up to."""

    @abstractmethod
    def batch_preempt_limit(self, now_ms: float) -> int:
        """Give above how many requests in all batch work must yield."""

    @abstractmethod
    def online_limit(self) -> int:
        """Give how many online requests the server bears within their targets."""

    def comfort_limit(self) -> int:
        """Give up to how many requests each one more makes the server do more work."""
        return self.online_limit()

    @abstractmethod
    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn from a token of a batch request."""

    def on_online_step(self, step_ms: float) -> None:  # noqa: B027  (nothing to learn by default)
        """Learn a step that an entry instance saw in an online answer."""

    @abstractmethod
    def on_call_end(self, took_ms: float) -> None:
        """Learn from a whole batch request."""

    def _record_peak(self, now_ms: float) -> None:
        known = self._online_sum + len(self._batch)
        if known >= self._peak_count:
            self._peak_count = known
            self._peak_at_ms = now_ms
