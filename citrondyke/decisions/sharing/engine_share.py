"""The share of batch work on a continuous-batching engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from citrondyke.decisions.sharing.server_share import ServerShare
from citrondyke.decisions.sharing.step_time_model import StepTimeModel

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import ServerLoad
    from citrondyke.ids import RequestId

__all__ = ('EngineShare', 'engine_share')

#: Streams that are tried on an engine of which nothing is known.
INITIAL_LIMIT = 8
#: Steps that are watched at one limit before another is tried.
STEPS_PER_LIMIT = 6
#: Until the first bad limit the next one tried is so many times the last.
START_GROWTH = 1.5
#: Pace below this part of the best one means that the knee is behind.
MIN_THROUGHPUT_RATIO = 0.98
#: A step counts as unharmed up to so many times the engine's fastest, whatever the target: where
#: the target is out of reach anyway, keeping batch work off would win nobody anything.
ACCEPTABLE_SLOWDOWN = 1.03
#: How long the best limit is kept before one stream more is tried again.
RAISE_INTERVAL_MS = 5000.0
#: Part of the target up to which steps are filled; the rest is for prefill and noise.
TARGET_MARGIN = 0.9
#: Where requests are turned away anyway, they are let in up to so many times the best number of
#: streams: beyond it the engine makes no more tokens, only later ones.
SATURATION_SLACK = 1.05
#: Batch requests that may start in the time of one step. Each start is a prefill, which makes
#: the step longer for everyone on the engine; those of a whole batch at once show as a stall.
STARTS_PER_STEP = 0.5
STARTS_BURST = 1.0
#: Shorter waits for a start are not worth a timer.
MIN_WAIT_MS = 0.5
ROUNDING = 1e-6
#: Filling stays below cutting by so many times the square root of the online requests, which is
#: how far their number strays by chance. Without the gap every request that comes cuts a stream
#: and every one that goes resumes it, each time with its prompt to compute again.
DEADBAND = 1.0
#: Step assumed before one was seen.
INITIAL_STEP_MS = 10.0
#: Gaps longer than this are stalls, not steps.
MAX_STEP_MS = 5000.0


def engine_share(token_gap_target_ms: float, max_running: int, online_limit: int) -> EngineShare:
    """Make the share of one engine.

    :param token_gap_target_ms: the tightest target of the online classes.
    :param max_running: limit used until the engine reports its own.
    :param online_limit: limit of online requests used until one is learned.
    """
    return EngineShare(token_gap_target_ms, max_running, online_limit)


class EngineShare(ServerShare):
    """Fills the engine to the most tokens a second that the online targets allow.

    The curve of step times is not configured: every batch stream measures it, as the gap
    between two of its tokens is one step. The limit grows fast until a step is too slow or the
    pace falls, closes in on the best number, and tries one stream more now and then.
    """

    def __init__(self, token_gap_target_ms: float, max_running: int, online_limit: int) -> None:
        """Start careful."""
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
        """Count the batch requests that may start now."""
        self._refill_start_tokens(now_ms)
        return min(super().free_capacity(now_ms), int(self._start_tokens + ROUNDING))

    def next_capacity_ms(self, now_ms: float) -> float:
        """Give when the next start is due, where only the pace of starts holds it back."""
        if super().free_capacity(now_ms) == 0:
            return float('inf')
        wait_ms = (1.0 - self._start_tokens) * self._ms_per_start()
        return now_ms + max(MIN_WAIT_MS, wait_ms)

    def on_batch_start(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that goes to the server."""
        super().on_batch_start(request_id, now_ms)
        self._start_tokens -= 1.0

    def set_target(self, token_gap_target_ms: float) -> None:
        """Take a changed target."""
        self._target_ms = token_gap_target_ms

    def on_load(self, load: ServerLoad, now_ms: float) -> None:
        """Take in the engine's report and its own limit of streams."""
        super().on_load(load, now_ms)
        self._max_running = load.max_running

    def fill_limit(self, now_ms: float) -> int:
        """Give how many streams in all batch work may fill the engine up to."""
        return max(1, self.batch_preempt_limit(now_ms) - self._deadband())

    def batch_preempt_limit(self, now_ms: float) -> int:
        """Give above how many streams in all batch work must yield."""
        return min(self._limit, self._max_running - 1)

    def online_limit(self) -> int:
        """Give how many online requests the engine bears within their targets."""
        estimates = self.step_times.estimates()
        too_slow = next((pair for pair in estimates if pair[1] > self._target_ms), None)
        if too_slow is None:
            return min(self._first_online_limit, self._max_running)
        within = self.step_times.max_streams(self._target_ms)
        if not within:
            # Nothing faster was seen yet: come down in proportion, and look again there.
            within = int(too_slow[0] * self._target_ms / too_slow[1])
        return min(max(within, self.comfort_limit()), self._max_running)

    def comfort_limit(self) -> int:
        """Give up to how many requests each one more makes the engine do more work."""
        allowed_ms = self._allowed_ms()
        best_streams, best_throughput = self.step_times.peak_throughput(allowed_ms)
        excessive_streams = self.step_times.first_excessive(
            best_streams, allowed_ms, MIN_THROUGHPUT_RATIO * best_throughput
        )
        if not best_streams or excessive_streams is None:
            return min(self._first_online_limit, self._max_running)
        return min(max(int(best_streams * SATURATION_SLACK), INITIAL_LIMIT), self._max_running)

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn a step from the gap between two tokens of one stream."""
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
        """Learn a step that an entry instance saw in an online answer.

        Without these nothing would be learned where online work alone fills the engine, which
        is when its limit matters most.
        """
        if 0 < step_ms < MAX_STEP_MS:
            self.step_times.observe(self.running_count, step_ms)

    def on_call_end(self, took_ms: float) -> None:
        """Learn nothing: the steps have said it all."""

    def on_batch_end(self, request_id: RequestId, now_ms: float) -> None:
        """Count a stream that left, and watch another one."""
        super().on_batch_end(request_id, now_ms)
        if request_id == self._sampled_request:
            self._sampled_request = None

    def _deadband(self) -> int:
        """Leave a gap between filling and cutting where online requests come and go."""
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
        """Move the limit once enough steps were seen at it."""
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
            # The smallest bad number has to be tried again now and then, to learn that the
            # engine has become faster; a few steps at it are all that it costs.
            self._next_raise_ms = now_ms + RAISE_INTERVAL_MS
            return excessive_streams
        return best_streams
