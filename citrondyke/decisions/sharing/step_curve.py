"""An engine's step time by running streams, learned from the gaps between tokens."""

from __future__ import annotations

from collections import deque

__all__ = ('StepCurve',)

#: Samples kept for each number of streams; their median stands for it.
SAMPLES_KEPT = 9
#: Samples from which a median is trusted.
SAMPLES_TRUSTED = 5
#: Samples of one number of streams older than this many later ones are dropped.
FORGET_AFTER = 20_000


class StepCurve:
    """Medians of observed steps, made to rise with the number of streams."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._samples: dict[int, deque[float]] = {}
        self._last_seen: dict[int, int] = {}
        self._count = 0
        self._medians: dict[int, float] = {}

    def observe(self, streams: int, step_ms: float) -> None:
        """Take in one step."""
        kept = self._samples.get(streams)
        if kept is None:
            kept = self._samples[streams] = deque(maxlen=SAMPLES_KEPT)
        kept.append(step_ms)
        self._count += 1
        self._last_seen[streams] = self._count
        if len(kept) >= SAMPLES_TRUSTED:
            self._medians[streams] = sorted(kept)[len(kept) // 2]
        if self._count % FORGET_AFTER == 0:
            self._forget()

    def step_ms(self, streams: int) -> float | None:
        """Give the step time at a number of streams, ``None`` where nothing is known near it."""
        exact = self._medians.get(streams)
        if exact is not None:
            return exact
        below = max((each for each in self._medians if each < streams), default=None)
        above = min((each for each in self._medians if each > streams), default=None)
        if below is None or above is None:
            return None
        part = (streams - below) / (above - below)
        return self._medians[below] + part * (self._medians[above] - self._medians[below])

    def known(self) -> list[tuple[int, float]]:
        """List what is known, by rising number of streams."""
        return sorted(self._medians.items())

    def highest_known(self) -> int:
        """Give the largest number of streams with a trusted median, 0 for none."""
        return max(self._medians, default=0)

    def best(self, allowed_ms: float) -> int:
        """Give the number of streams with the most tokens a second within ``allowed_ms``."""
        best_streams = 0
        best_pace = 0.0
        for streams, step_ms in self.known():
            if step_ms > allowed_ms:
                continue
            pace = streams / step_ms
            if pace > best_pace:
                best_streams, best_pace = streams, pace
        return best_streams

    def widest(self, allowed_ms: float) -> int:
        """Give the largest number of streams whose step is within ``allowed_ms``.

        What lies above a number that is too slow does not count, whatever one sample says.
        """
        widest = 0
        for streams, step_ms in self.known():
            if step_ms > allowed_ms:
                break
            widest = streams
        return widest

    def _forget(self) -> None:
        horizon = self._count - FORGET_AFTER
        for streams in [each for each, seen in self._last_seen.items() if seen < horizon]:
            del self._samples[streams]
            del self._last_seen[streams]
            self._medians.pop(streams, None)
