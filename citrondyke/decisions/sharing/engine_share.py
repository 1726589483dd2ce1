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
#: Steps that are watched at one limit before it is raised.
STEPS_PER_LIMIT = 6
#: Until the first slow step the limit grows by this factor.
START_GROWTH = 1.5
#: Pace below this part of the best one means the knee is behind.
PACE_LOSS = 0.97
#: How long a limit is kept before one stream more is tried again.
RETRY_PROBE_MS = 5000.0
#: Part of the target up to which steps are filled; the rest is for prefill and noise.
TARGET_MARGIN = 0.9
#: Gaps longer than this are stalls, not steps.
LONGEST_STEP_MS = 5000.0


def engine_share(token_gap_target_ms: float, max_running: int) -> EngineShare:
    """Make the share of one engine.

    :param token_gap_target_ms: the tightest target of the online classes.
    :param max_running: limit used until the engine reports its own.
    """
    return EngineShare(token_gap_target_ms, max_running)


class EngineShare(ServerShare):
    """Fills the engine to the most tokens a second that the online targets allow.

    The curve of step times is not configured: every batch stream measures it, as the gap
    between two of its tokens is one step. The limit grows fast until a step is too slow or the
    pace falls, then stays at the best number seen and tries one more stream now and then.
    """

    def __init__(self, token_gap_target_ms: float, max_running: int) -> None:
        """Start careful."""
        super().__init__()
        self.curve = StepCurve()
        self._allowed_ms = token_gap_target_ms * TARGET_MARGIN
        self._max_running = max_running
        self._limit = FIRST_LIMIT
        self._is_starting = True
        self._steps_at_limit = 0
        self._next_probe_ms = 0.0
        self._probe: RequestId | None = None
        self._probe_at_ms = 0.0
        self._probe_streams = 0

    def set_target(self, token_gap_target_ms: float) -> None:
        """Take a changed target."""
        self._allowed_ms = token_gap_target_ms * TARGET_MARGIN

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
        return max(self.fill_limit(now_ms), self.curve.widest(self._allowed_ms))

    def online_limit(self) -> int:
        """Give how many online requests the engine bears within their targets."""
        widest = self.curve.widest(self._allowed_ms)
        if widest < self._limit:
            return min(max(self._limit, FIRST_LIMIT * 4), self._max_running)
        return min(widest, self._max_running)

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

    def _adapt(self, streams: int, now_ms: float) -> None:
        if streams < self._limit:
            return
        self._steps_at_limit += 1
        if self._steps_at_limit < STEPS_PER_LIMIT:
            return
        self._steps_at_limit = 0
        step_ms = self.curve.step_ms(streams)
        best = self.curve.best(self._allowed_ms)
        if step_ms is None:
            return
        if best == 0:
            # Even this few are too slow for the target.
            self._is_starting = False
            self._limit = max(1, self._limit // 2)
            return
        best_ms = self.curve.step_ms(best) or step_ms
        is_slow = step_ms > self._allowed_ms
        is_past_knee = streams / step_ms < PACE_LOSS * best / best_ms
        if is_slow or is_past_knee:
            self._is_starting = False
            self._limit = best
            self._next_probe_ms = now_ms + RETRY_PROBE_MS
            return
        if self._is_starting:
            self._limit = min(int(self._limit * START_GROWTH) + 1, self._max_running)
            return
        if best > self._limit or now_ms >= self._next_probe_ms:
            self._limit = min(max(best, self._limit) + 1, self._max_running)
            self._next_probe_ms = now_ms + RETRY_PROBE_MS
