"""The batch share of a continuous-batching engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from citrondyke.decisions.sharing.server_share import ServerShare
from citrondyke.decisions.sharing.step_time_model import StepTimeModel

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import ServerLoad
    from citrondyke.ids import RequestId

__all__ = ('EngineShare', 'engine_share')

#: Limit of streams on an engine without step times.
INITIAL_LIMIT = 8
#: Steps observed at one limit before another one is tried.
STEPS_PER_LIMIT = 6
#: Growth factor of the limit until the first excessive one is found.
START_GROWTH = 1.5
#: Throughput below this share of the peak means that the engine is beyond its saturation point.
MIN_THROUGHPUT_RATIO = 0.98
#: Steps of up to this multiple of the engine's fastest step are acceptable whatever the target: if
#: the target can't be met even so, rejecting batch work wouldn't help online requests.
ACCEPTABLE_SLOWDOWN = 1.03
#: Interval between attempts to raise the best limit by one stream.
RAISE_INTERVAL_MS = 5000.0
#: Share of the target that steps may use; the rest is for prefill and noise.
TARGET_MARGIN = 0.9
#: When online requests have to be rejected anyway, they are admitted up to this multiple of the
#: best number of streams. Above it the engine makes no more tokens, only later ones.
SATURATION_SLACK = 1.05
#: Batch requests that may start per step. Each start is a prefill, which lengthens the step for all
#: streams on the engine; the prefills of a whole batch at once would appear as a stall.
STARTS_PER_STEP = 0.5
STARTS_BURST = 1.0
#: Minimum wait for a start; a timer for a shorter one isn't worthwhile.
MIN_WAIT_MS = 0.5
ROUNDING = 1e-6
#: Gap between the fill limit and the preemption limit, as a multiple of the square root of the
#: online requests, which is the random variation of their number. Without the gap each request that
#: arrives would preempt a stream and each one that ends would resume it, recomputing its prompt
#: each time.
DEADBAND = 1.0
#: Step time assumed before any was observed.
INITIAL_STEP_MS = 10.0
#: Longer gaps between tokens are stalls, not steps.
MAX_STEP_MS = 5000.0


def engine_share(token_gap_target_ms: float, max_running: int, online_limit: int) -> EngineShare:
    """Create the batch share of one engine.

    :param token_gap_target_ms: the shortest target of the online classes.
    :param max_running: limit of streams used until the engine reports its own.
    :param online_limit: limit of online requests used until one is learned.
    """
    return EngineShare(token_gap_target_ms, max_running, online_limit)


class EngineShare(ServerShare):
    """Fills the engine up to the highest throughput that the online targets allow.

    Step times aren't configured but learned from batch streams: the gap between two tokens of a
    stream is one step. The limit grows fast until a step is too slow or the throughput falls, then
    converges on the best number of streams by bisection, and tries one stream more from time to
    time.
    """

    def __init__(self, token_gap_target_ms: float, max_running: int, online_limit: int) -> None:
        """Initialize the share with a low limit."""
        super().__init__()
        self.step_times = StepTimeModel()
        self._target_ms = token_gap_target_ms
        self._max_running = max_running
        self._first_online_limit = online_limit
        self._limit = INITIAL_LIMIT
        self._steps_at_limit = 0
        self._next_raise_ms = 0.0
        self._sampled_request: RequestId | None = None
        self._last_token_ms = 0.0
        self._last_token_streams = 0
        self._start_tokens = STARTS_BURST
        self._starts_at_ms = 0.0

    def free_capacity(self, now_ms: float) -> int:
        """Return the number of batch requests that may start now."""
        self._refill_start_tokens(now_ms)
        return min(super().free_capacity(now_ms), int(self._start_tokens + ROUNDING))

    def next_capacity_ms(self, now_ms: float) -> float:
        """Return when the next start is due if only the start rate delays it."""
        if super().free_capacity(now_ms) == 0:
            return float('inf')
        wait_ms = (1.0 - self._start_tokens) * self._ms_per_start()
        return now_ms + max(MIN_WAIT_MS, wait_ms)

    def on_batch_start(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that is sent to the server."""
        super().on_batch_start(request_id, now_ms)
        self._start_tokens -= 1.0

    def set_target(self, token_gap_target_ms: float) -> None:
        """Update the target of the time between two tokens."""
        self._target_ms = token_gap_target_ms

    def on_load(self, load: ServerLoad, now_ms: float) -> None:
        """Apply the engine's load report and its own limit of streams."""
        super().on_load(load, now_ms)
        self._max_running = load.max_running

    def fill_limit(self, now_ms: float) -> int:
        """Return the total number of streams up to which batch work may be started."""
        return max(1, self.batch_preempt_limit(now_ms) - self._deadband())

    def batch_preempt_limit(self, now_ms: float) -> int:
        """Return the total number of streams above which batch work is preempted."""
        # At a limit of 0 an engine of one stream would preempt each run with no online request.
        return min(self._limit, max(1, self._max_running - 1))

    def online_limit(self) -> int:
        """Return the number of online requests that the engine serves within their targets."""
        estimates = self.step_times.estimates()
        too_slow = next((pair for pair in estimates if pair[1] > self._target_ms), None)
        if too_slow is None:
            return min(self._first_online_limit, self._max_running)
        within = self.step_times.max_streams(self._target_ms)
        if not within:
            # No step was within the target yet: reduce the limit in proportion and observe again.
            within = int(too_slow[0] * self._target_ms / too_slow[1])
        return min(max(within, self.comfort_limit()), self._max_running)

    def comfort_limit(self) -> int:
        """Return the number of requests up to which the throughput still increases."""
        allowed_ms = self._allowed_ms()
        best_streams, best_throughput = self.step_times.peak_throughput(allowed_ms)
        excessive_streams = self.step_times.first_excessive(
            best_streams, allowed_ms, MIN_THROUGHPUT_RATIO * best_throughput
        )
        if not best_streams or excessive_streams is None:
            return min(self._first_online_limit, self._max_running)
        return min(max(int(best_streams * SATURATION_SLACK), INITIAL_LIMIT), self._max_running)

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn a step time from the gap between two tokens of the sampled stream."""
        if self._sampled_request != request_id:
            if self._sampled_request is None or self._sampled_request not in self._batch:
                self._sampled_request = request_id
                self._last_token_ms = now_ms
                self._last_token_streams = self.running_count
            return
        gap_ms = now_ms - self._last_token_ms
        streams = self.running_count
        is_steady = streams == self._last_token_streams
        self._last_token_ms = now_ms
        self._last_token_streams = streams
        if not is_steady or not 0 < gap_ms < MAX_STEP_MS:
            return
        self.step_times.observe(streams, gap_ms)
        self._adapt(streams, now_ms)

    def on_online_step(self, step_ms: float) -> None:
        """Learn a step time that an entry instance observed in an online response.

        Otherwise nothing would be learned while online work alone fills the engine, which is when
        its limit matters most.
        """
        if 0 < step_ms < MAX_STEP_MS:
            self.step_times.observe(self.running_count, step_ms)

    def on_call_end(self, took_ms: float) -> None:
        """Ignore the duration; step times are learned from tokens."""

    def on_batch_end(self, request_id: RequestId, now_ms: float) -> None:
        """Remove a stream that has ended, and sample another one."""
        super().on_batch_end(request_id, now_ms)
        if request_id == self._sampled_request:
            self._sampled_request = None

    def _deadband(self) -> int:
        """Return the gap between the fill limit and the preemption limit."""
        return int(DEADBAND * math.sqrt(self.online_count) + 0.5)

    def _ms_per_start(self) -> float:
        return (self.step_times.fastest_ms() or INITIAL_STEP_MS) / STARTS_PER_STEP

    def _refill_start_tokens(self, now_ms: float) -> None:
        gained = (now_ms - self._starts_at_ms) / self._ms_per_start()
        self._start_tokens = min(STARTS_BURST, self._start_tokens + gained)
        self._starts_at_ms = now_ms

    def _allowed_ms(self) -> float:
        return max(
            self._target_ms * TARGET_MARGIN, self.step_times.fastest_ms() * ACCEPTABLE_SLOWDOWN
        )

    def _adapt(self, streams: int, now_ms: float) -> None:
        """Adapt the limit after enough steps were observed at it."""
        if streams < self.fill_limit(now_ms):
            return
        self._steps_at_limit += 1
        if self._steps_at_limit < STEPS_PER_LIMIT:
            return
        self._steps_at_limit = 0
        allowed_ms = self._allowed_ms()
        best_streams, best_throughput = self.step_times.peak_throughput(allowed_ms)
        if best_streams == 0:
            self._limit = max(1, self._limit // 2)
            return
        excessive_streams = self.step_times.first_excessive(
            best_streams, allowed_ms, MIN_THROUGHPUT_RATIO * best_throughput
        )
        self._limit = self._next_limit(best_streams, excessive_streams, now_ms)

    def _next_limit(self, best_streams: int, excessive_streams: int | None, now_ms: float) -> int:
        if excessive_streams is None:
            grown = int(max(best_streams, self._limit) * START_GROWTH) + 1
            return min(grown, self._max_running)
        if excessive_streams - best_streams > 1:
            return (best_streams + excessive_streams) // 2
        if now_ms >= self._next_raise_ms:
            # The smallest excessive number is tried again from time to time, to learn whether the
            # engine has become faster. That costs only a few steps.
            self._next_raise_ms = now_ms + RAISE_INTERVAL_MS
            return excessive_streams
        return best_streams
