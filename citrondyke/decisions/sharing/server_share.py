"""Base class of the batch shares that a steward computes for its servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import ServerLoad
    from citrondyke.ids import InstanceId, RequestId

__all__ = ('ServerShare',)

#: Notices expire after this time: an entry instance that sends none has no more requests there.
NOTICE_EXPIRY_MS = 100_000.0
#: A load report is compared with the largest known number of requests within this time before.
REPORT_WINDOW_MS = 1000.0
EXTERNAL_LOAD_SMOOTHING = 0.2


class ServerShare(ABC):
    """Counts the requests on a server and limits the batch work on it."""

    def __init__(self) -> None:
        """Initialize the share with no running requests."""
        self._online: dict[InstanceId, tuple[int, float]] = {}
        self._online_sum = 0
        #: Batch requests in order of their start, oldest first.
        self._batch: OrderedDict[RequestId, None] = OrderedDict()
        self._external_count = 0.0
        self._peak_count = 0
        self._peak_at_ms = 0.0
        #: When the last answered request for a load report was sent; ``None`` before the first.
        self.alive_at_ms: float | None = None

    @property
    def batch_count(self) -> int:
        """Number of batch requests on the server."""
        return len(self._batch)

    @property
    def online_count(self) -> int:
        """Number of online requests on the server, by the latest notices."""
        return self._online_sum

    @property
    def running_count(self) -> int:
        """Number of all requests on the server, with the estimated ones of other clients."""
        return self._online_sum + len(self._batch) + int(self._external_count)

    def on_notice(self, instance_id: InstanceId, online_count: int, now_ms: float) -> bool:
        """Apply a notice of how many online requests an entry instance has on the server.

        :returns: whether there are more than in its previous notice.
        """
        before = self._online.get(instance_id, (0, 0.0))[0]
        self._online_sum += online_count - before
        if online_count:
            self._online[instance_id] = (online_count, now_ms)
        else:
            self._online.pop(instance_id, None)
        return online_count > before

    def expire_notices(self, now_ms: float) -> None:
        """Drop the notices of instances that have sent none for a long time."""
        for instance_id, (_, received_ms) in list(self._online.items()):
            if now_ms - received_ms > NOTICE_EXPIRY_MS:
                self._drop_notice(instance_id)

    def retain_notices_of(self, live: set[InstanceId]) -> None:
        """Drop the notices of instances that are considered dead.

        An instance that crashes with requests in flight never reports their end. Its notices would
        keep batch work off the server until they expire.
        """
        for instance_id in [each for each in self._online if each not in live]:
            self._drop_notice(instance_id)

    def _drop_notice(self, instance_id: InstanceId) -> None:
        count, _ = self._online.pop(instance_id)
        self._online_sum -= count

    def on_batch_start(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that is sent to the server."""
        self._batch[request_id] = None
        self._record_peak(now_ms)

    def on_batch_end(self, request_id: RequestId, now_ms: float) -> None:
        """Remove a batch request that has left the server."""
        self._record_peak(now_ms)
        self._batch.pop(request_id, None)

    def on_load(self, load: ServerLoad, now_ms: float) -> None:
        """Compare the server's own delayed load report with the known requests.

        The surplus is temporarily work of another steward, or requests of other clients.
        """
        self._record_peak(now_ms)
        surplus = max(0, load.running + load.waiting - self._peak_count)
        self._external_count += EXTERNAL_LOAD_SMOOTHING * (surplus - self._external_count)
        if now_ms - self._peak_at_ms > REPORT_WINDOW_MS:
            self._peak_count = 0

    def free_capacity(self, now_ms: float) -> int:
        """Return the number of batch requests that may start now."""
        return max(0, self.fill_limit(now_ms) - self.running_count)

    def next_capacity_ms(self, now_ms: float) -> float:
        """Return when capacity becomes free by time alone; infinity if it doesn't."""
        return float('inf')

    def runs_to_preempt(self, now_ms: float) -> list[RequestId]:
        """Return the batch requests to preempt in favor of online ones, youngest first.

        The youngest have the least work to repeat when they resume.
        """
        excess = self.running_count - self.batch_preempt_limit(now_ms)
        if excess <= 0:
            return []
        return list(islice(reversed(self._batch), excess))

    @abstractmethod
    def fill_limit(self, now_ms: float) -> int:
        """Return the total number of requests up to which batch work may be started."""

    @abstractmethod
    def batch_preempt_limit(self, now_ms: float) -> int:
        """Return the total number of requests above which batch work is preempted."""

    @abstractmethod
    def online_limit(self) -> int:
        """Return the number of online requests that the server serves within their targets."""

    def comfort_limit(self) -> int:
        """Return the number of requests up to which the throughput still increases."""
        return self.online_limit()

    @abstractmethod
    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn from a token of a batch request."""

    def on_online_step(self, step_ms: float) -> None:  # noqa: B027  (nothing to learn by default)
        """Learn a step time that an entry instance observed in an online response."""

    @abstractmethod
    def on_call_end(self, took_ms: float) -> None:
        """Learn from the duration of a batch request."""

    def _record_peak(self, now_ms: float) -> None:
        known_count = self._online_sum + len(self._batch)
        if known_count >= self._peak_count:
            self._peak_count = known_count
            self._peak_at_ms = now_ms
