"""Draws histograms in a terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rich.table import Table

if TYPE_CHECKING:
    from citrondyke.operator.histogram import SparseHistogram

__all__ = ('histogram_table',)

BAR_CHARS = 40
MAX_ROWS = 12


def histogram_table(title: str, histogram: SparseHistogram) -> Table:
    """Draw a histogram as bars, with its 50 %, 95 % and 99 % quantiles in the title."""
    quantiles = ', '.join(
        f'p{share * 100:g} {histogram.quantile_ms(share):.1f} ms' for share in (0.5, 0.95, 0.99)
    )
    table = Table(title=f'{title} ({histogram.count} requests; {quantiles})', title_justify='left')
    table.add_column('up to ms', justify='right')
    table.add_column('requests', justify='right')
    table.add_column('')
    rows = _group_buckets(histogram.buckets())
    largest_count = max((count for _, count in rows), default=1)
    for value_ms, count in rows:
        table.add_row(
            f'{value_ms:.1f}', str(count), '█' * max(1, count * BAR_CHARS // largest_count)
        )
    return table


def _group_buckets(buckets: list[tuple[float, int]]) -> list[tuple[float, int]]:
    """Merge adjacent buckets until there are at most ``MAX_ROWS``."""
    group_size = -(-len(buckets) // MAX_ROWS) or 1
    return [
        (
            buckets[min(start + group_size, len(buckets)) - 1][0],
            sum(count for _, count in buckets[start : start + group_size]),
        )
        for start in range(0, len(buckets), group_size)
    ]
