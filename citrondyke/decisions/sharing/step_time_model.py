"""An engine's step time by running streams, learned from the gaps between tokens."""

from __future__ import annotations

from collections import deque

__all__ = ('StepTimeModel',)

#: Samples kept for each number of streams.
SAMPLES_LIMIT = 40
#: Samples from which their estimate is trusted.
MIN_SAMPLES = 6
#: The estimate has this part of the samples below it. Steps that also prefill are longer, and
#: are no sign of too many streams; a low quantile leaves them out as long as some steps prefill
#: nothing.
QUANTILE = 0.1
#: Numbers of streams not seen among so many samples are forgotten.
FORGET_AFTER = 20_000


class StepTimeModel:
    """Estimates of the step without prefill, by number of running streams.

    A step never gets shorter by more streams, so whatever is seen at a larger number bounds the
    smaller ones. On a busy engine nearly every step prefills something, and single numbers look
    slow by chance; their larger neighbours set that right.
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._samples: dict[int, deque[float]] = {}
        self._last_seen: dict[int, int] = {}
        self._count = 0
        self._estimates: dict[int, float] = {}
        self._monotonic: list[tuple[int, float]] | None = []

    def observe(self, streams: int, step_ms: float) -> None:
        """Take in one step."""
        samples = self._samples.get(streams)
        if samples is None:
            samples = self._samples[streams] = deque(maxlen=SAMPLES_LIMIT)
        samples.append(step_ms)
        self._count += 1
        self._last_seen[streams] = self._count
        if len(samples) >= MIN_SAMPLES:
            estimate = sorted(samples)[int(len(samples) * QUANTILE)]
            if estimate != self._estimates.get(streams):
                self._estimates[streams] = estimate
                self._monotonic = None
        if self._count % FORGET_AFTER == 0:
            self._drop_unseen()

    def estimates(self) -> list[tuple[int, float]]:
        """List what is known, by rising number of streams; the steps never fall."""
        if self._monotonic is None:
            monotonic: list[tuple[int, float]] = []
            shortest = float('inf')
            for streams in sorted(self._estimates, reverse=True):
                shortest = min(shortest, self._estimates[streams])
                monotonic.append((streams, shortest))
            monotonic.reverse()
            self._monotonic = monotonic
        return self._monotonic

    def fastest_ms(self) -> float:
        """Give the fastest step known, 0 for none."""
        estimates = self.estimates()
        return estimates[0][1] if estimates else 0.0

    def peak_throughput(self, allowed_ms: float) -> tuple[int, float]:
        """Give the number of streams with the most tokens a millisecond, and that pace.

        :param allowed_ms: longest step that counts.
        """
        best_streams, best_throughput = 0, 0.0
        for streams, step_ms in self.estimates():
            if step_ms > allowed_ms:
                break
            pace = streams / step_ms
            if pace > best_throughput:
                best_streams, best_throughput = streams, pace
        return best_streams, best_throughput

    def max_streams(self, allowed_ms: float) -> int:
        """Give the largest number of streams whose step is within ``allowed_ms``."""
        max_streams = 0
        for streams, step_ms in self.estimates():
            if step_ms > allowed_ms:
                break
            max_streams = streams
        return max_streams

    def first_excessive(self, above: int, allowed_ms: float, min_throughput: float) -> int | None:
        """Give the smallest number of streams that is too many, ``None`` for none known.

        :param above: only larger numbers are looked at.
        :param min_throughput: tokens a millisecond that must be reached.
        """
        for streams, step_ms in self.estimates():
            if streams > above and (step_ms > allowed_ms or streams / step_ms < min_throughput):
                return streams
        return None

    def _drop_unseen(self) -> None:
        oldest_kept = self._count - FORGET_AFTER
        for streams in [each for each, seen in self._last_seen.items() if seen < oldest_kept]:
            del self._samples[streams]
            del self._last_seen[streams]
            self._estimates.pop(streams, None)
        self._monotonic = None
