"""The share of batch work on a continuous-batching engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.sharing.server_share import ServerShare
from citrondyke.decisions.sharing.step_curve import StepCurve

if TYPE_CHECKING:
    from citrondyke.decisions.core.ops import ServerLoad
    from citrondyke.ids import RequestId

__all__ = ('EngineShare', 'engine_share')

#: Streams that are tried on an engine of which nothing is known.
FIRST_LIMIT = 8
#: Steps that are watched at one limit before another is tried.
STEPS_PER_LIMIT = 6
#: Until the first bad limit the next one tried is so many times the last.
START_GROWTH = 1.5
#: Pace below this part of the best one means that the knee is behind.
PACE_LOSS = 0.98
#: A step counts as unharmed up to so many times the engine's fastest, whatever the target: where
#: the target is out of reach anyway, keeping batch work off would win nobody anything.
UNHARMED = 1.03
#: How long the best limit is kept before one stream more is tried again.
RETRY_PROBE_MS = 5000.0
#: Part of the target up to which steps are filled; the rest is for prefill and noise.
TARGET_MARGIN = 0.9
#: Online requests are let in until the step is so many times the target: a moment above it does
#: less harm than a refusal.
ONLINE_SLACK = 1.25
#: Batch requests that may start in the time of one step. Each start is a prefill, which makes
#: the step longer for everyone on the engine; those of a whole batch at once show as a stall.
STARTS_PER_STEP = 1.0
STARTS_BURST = 2.0
#: Shorter waits for a start are not worth a timer.
SHORTEST_WAIT_MS = 0.5
ROUNDING = 1e-6
#: Step assumed before one was seen.
FIRST_STEP_MS = 10.0
#: Gaps longer than this are stalls, not steps.
LONGEST_STEP_MS = 5000.0


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
        self.curve = StepCurve()
        self._target_ms = token_gap_target_ms
        self._max_running = max_running
        self._first_online_limit = online_limit
        self._limit = FIRST_LIMIT
        self._steps_at_limit = 0
        self._next_probe_ms = 0.0
        self._probe: RequestId | None = None
        self._probe_at_ms = 0.0
        self._probe_streams = 0
        self._starts = STARTS_BURST
        self._starts_at_ms = 0.0

    def room(self, now_ms: float) -> int:
        """Count the batch requests that may start now."""
        self._refill_starts(now_ms)
        return min(super().room(now_ms), int(self._starts + ROUNDING))

    def next_room_ms(self, now_ms: float) -> float:
        """Give when the next start is due, where only the pace of starts holds it back."""
        if super().room(now_ms) == 0:
            return float('inf')
        wait_ms = (1.0 - self._starts) * self._ms_per_start()
        return now_ms + max(SHORTEST_WAIT_MS, wait_ms)

    def on_batch_start(self, request_id: RequestId, now_ms: float) -> None:
        """Count a batch request that goes to the server."""
        super().on_batch_start(request_id, now_ms)
        self._starts -= 1.0

    def set_target(self, token_gap_target_ms: float) -> None:
        """Take a changed target."""
        self._target_ms = token_gap_target_ms

    def on_load(self, load: ServerLoad, now_ms: float) -> None:
        """Take in the engine's report and its own limit of streams."""
        super().on_load(load, now_ms)
        self._max_running = load.max_running

    def fill_limit(self, now_ms: float) -> int:
        """Give how many streams in all batch work may fill the engine up to."""
        return min(self._limit, self._max_running - 1)

    def cut_limit(self, now_ms: float) -> int:
        """Give above how many streams in all batch work must yield.

        Between the best number and the widest that is within the target nothing is cut: streams
        that end by themselves are not replaced, and nothing has to be done again.
        """
        return max(self.fill_limit(now_ms), self.curve.widest(self._allowed_ms()))

    def online_limit(self) -> int:
        """Give how many online requests the engine bears within their targets."""
        slow_at = self.curve.first_above(self._target_ms * ONLINE_SLACK)
        if slow_at is None:
            return min(self._first_online_limit, self._max_running)
        return min(max(slow_at - 1, FIRST_LIMIT, self._limit), self._max_running)

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn a step from the gap between two tokens of one stream."""
        if self._probe != request_id:
            if self._probe is None or self._probe not in self._batch:
                self._probe = request_id
                self._probe_at_ms = now_ms
                self._probe_streams = self.running_count
            return
        gap_ms = now_ms - self._probe_at_ms
        streams = self.running_count
        is_steady = streams == self._probe_streams
        self._probe_at_ms = now_ms
        self._probe_streams = streams
        if not is_steady or not 0 < gap_ms < LONGEST_STEP_MS:
            return
        self.curve.observe(streams, gap_ms)
        self._adapt(streams, now_ms)

    def on_call_end(self, took_ms: float) -> None:
        """Learn nothing: the steps have said it all."""

    def on_batch_end(self, request_id: RequestId, now_ms: float) -> None:
        """Count a stream that left, and watch another one."""
        super().on_batch_end(request_id, now_ms)
        if request_id == self._probe:
            self._probe = None

    def _ms_per_start(self) -> float:
        return (self.curve.fastest_ms() or FIRST_STEP_MS) / STARTS_PER_STEP

    def _refill_starts(self, now_ms: float) -> None:
        gained = (now_ms - self._starts_at_ms) / self._ms_per_start()
        self._starts = min(STARTS_BURST, self._starts + gained)
        self._starts_at_ms = now_ms

    def _allowed_ms(self) -> float:
        return max(self._target_ms * TARGET_MARGIN, self.curve.fastest_ms() * UNHARMED)

    def _adapt(self, streams: int, now_ms: float) -> None:
        """Move the limit once enough steps were seen at it."""
        if streams < self._limit:
            return
        self._steps_at_limit += 1
        if self._steps_at_limit < STEPS_PER_LIMIT:
            return
        self._steps_at_limit = 0
        allowed_ms = self._allowed_ms()
        best, best_pace = self.curve.best(allowed_ms)
        if best == 0:
            self._limit = max(1, self._limit // 2)
            return
        bad = self.curve.first_bad(best, allowed_ms, PACE_LOSS * best_pace)
        self._limit = self._next_limit(best, bad, now_ms)

    def _next_limit(self, best: int, bad: int | None, now_ms: float) -> int:
        if bad is None:
            grown = int(max(best, self._limit) * START_GROWTH) + 1
            return min(grown, self._max_running)
        if bad - best > 1:
            return (best + bad) // 2
        if now_ms >= self._next_probe_ms:
            # The smallest bad number has to be tried again now and then, to learn that the
            # engine has become faster; a few steps at it are all that it costs.
            self._next_probe_ms = now_ms + RETRY_PROBE_MS
            return bad
        return best
