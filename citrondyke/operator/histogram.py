"""A histogram that holds only what was seen."""

from __future__ import annotations

import msgspec
from ddsketch.mapping import LogarithmicMapping

__all__ = ('HistogramData', 'SparseHistogram')

RELATIVE_ACCURACY = 0.02
_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)
#: What is shorter counts as this long.
SHORTEST_MS = 0.01


class HistogramData(msgspec.Struct, frozen=True):
    """A histogram as it is sent: counts by bucket number."""

    counts: dict[int, int]
    sum_ms: float


class SparseHistogram:
    """Counts by logarithmic bucket, each within 2 % of its values; mergeable."""

    __slots__ = ('_count', '_counts', '_sum_ms')

    def __init__(self) -> None:
        """Start empty."""
        self._counts: dict[int, int] = {}
        self._count = 0
        self._sum_ms = 0.0

    @property
    def count(self) -> int:
        """Count the values."""
        return self._count

    def add(self, value_ms: float) -> None:
        """Take in a value."""
        key = _MAPPING.key(max(SHORTEST_MS, value_ms))
        self._counts[key] = self._counts.get(key, 0) + 1
        self._count += 1
        self._sum_ms += value_ms

    def merge(self, data: HistogramData) -> None:
        """Take in another histogram."""
        for key, count in data.counts.items():
            self._counts[key] = self._counts.get(key, 0) + count
            self._count += count
        self._sum_ms += data.sum_ms

    def quantile_ms(self, share: float) -> float:
        """Give the value that ``share`` of all values do not exceed."""
        rank = share * (self._count - 1)
        seen = 0
        for key in sorted(self._counts):
            seen += self._counts[key]
            if seen > rank:
                return float(_MAPPING.value(key))
        return 0.0

    def buckets(self) -> list[tuple[float, int]]:
        """List the buckets by rising value, as value and count."""
        return [(float(_MAPPING.value(key)), self._counts[key]) for key in sorted(self._counts)]

    def data(self) -> HistogramData:
        """Give it as it is sent."""
        return HistogramData(dict(self._counts), self._sum_ms)
