"""A histogram that stores only its non-empty buckets."""

from __future__ import annotations

import msgspec
from ddsketch.mapping import LogarithmicMapping

__all__ = ('HistogramData', 'SparseHistogram')

RELATIVE_ACCURACY = 0.02
_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)
#: Shorter times are counted as this one.
SHORTEST_MS = 0.01


class HistogramData(msgspec.Struct, frozen=True):
    """Serialized form of a histogram: counts by bucket number."""

    counts: dict[int, int]
    sum_ms: float


class SparseHistogram:
    """Mergeable histogram with logarithmic buckets, accurate to 2 % of a value."""

    __slots__ = ('_count', '_counts', '_sum_ms')

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._counts: dict[int, int] = {}
        self._count = 0
        self._sum_ms = 0.0

    @property
    def count(self) -> int:
        """Return the number of values."""
        return self._count

    def add(self, value_ms: float) -> None:
        """Add a value."""
        key = _MAPPING.key(max(SHORTEST_MS, value_ms))
        self._counts[key] = self._counts.get(key, 0) + 1
        self._count += 1
        self._sum_ms += value_ms

    def merge(self, data: HistogramData) -> None:
        """Add the counts of another histogram."""
        for key, count in data.counts.items():
            self._counts[key] = self._counts.get(key, 0) + count
            self._count += count
        self._sum_ms += data.sum_ms

    def quantile_ms(self, share: float) -> float:
        """Return the value that a ``share`` of all values does not exceed; 0 when empty."""
        rank = share * (self._count - 1)
        seen = 0
        for key in sorted(self._counts):
            seen += self._counts[key]
            if seen > rank:
                return float(_MAPPING.value(key))
        return 0.0

    def buckets(self) -> list[tuple[float, int]]:
        """Return the buckets in ascending order, as pairs of value and count."""
        return [(float(_MAPPING.value(key)), self._counts[key]) for key in sorted(self._counts)]

    def data(self) -> HistogramData:
        """Return the serialized form."""
        return HistogramData(dict(self._counts), self._sum_ms)
