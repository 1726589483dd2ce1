"""Step times of an engine by number of running streams, learned from token gaps."""

from __future__ import annotations

from collections import deque

__all__ = ('StepTimeModel',)

#: Samples stored for each number of streams.
SAMPLES_LIMIT = 40
#: Minimum number of samples for an estimate.
MIN_SAMPLES = 6
#: The estimate is this quantile of the samples. Steps with a prefill are longer without indicating
#: too many streams; a low quantile excludes them as long as some steps have no prefill.
QUANTILE = 0.1
#: Estimates of stream counts that don't occur in this number of samples are dropped.
FORGET_AFTER = 20_000


class StepTimeModel:
    """Estimates the time of a step without prefill by number of running streams.

    More streams never shorten a step, so the estimate at a larger number is an upper bound for
    smaller ones. On a busy engine nearly every step includes a prefill, and the estimate of a
    single number may be too high by chance; the bounds from larger numbers correct it.
    """

    def __init__(self) -> None:
        """Initialize the model without samples."""
        self._samples: dict[int, deque[float]] = {}
        self._last_seen: dict[int, int] = {}
        self._count = 0
        self._estimates: dict[int, float] = {}
        self._monotonic: list[tuple[int, float]] | None = []

    def observe(self, streams: int, step_ms: float) -> None:
        """Add the time of one step."""
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
        """Return pairs of streams and step time, both in ascending order."""
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
        """Return the fastest estimated step; 0 if there is none."""
        estimates = self.estimates()
        return estimates[0][1] if estimates else 0.0

    def peak_throughput(self, allowed_ms: float) -> tuple[int, float]:
        """Return the number of streams with the highest throughput, and that throughput.

        The throughput is in tokens per millisecond.

        :param allowed_ms: longest step that is considered.
        """
        best_streams, best_throughput = 0, 0.0
        for streams, step_ms in self.estimates():
            if step_ms > allowed_ms:
                break
            throughput = streams / step_ms
            if throughput > best_throughput:
                best_streams, best_throughput = streams, throughput
        return best_streams, best_throughput

    def max_streams(self, allowed_ms: float) -> int:
        """Return the largest number of streams whose step is within ``allowed_ms``."""
        max_streams = 0
        for streams, step_ms in self.estimates():
            if step_ms > allowed_ms:
                break
            max_streams = streams
        return max_streams

    def first_excessive(self, above: int, allowed_ms: float, min_throughput: float) -> int | None:
        """Return the smallest number of streams that is excessive; ``None`` if none is known.

        :param above: only larger numbers are considered.
        :param min_throughput: required throughput in tokens per millisecond.
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
