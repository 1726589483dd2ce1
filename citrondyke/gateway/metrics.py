"""Counters, gauges and latency histograms in Prometheus text format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Metrics',)

#: Upper bounds of the histograms' buckets: around the routes' targets of 200 to 500 ms.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 300, 400, 500, 750, 1_000, 2_000, 5_000)
#: Limit on routes with series of their own; further ones are counted as ``other``.
ROUTES_LIMIT = 200
#: Limit on accounts with series of their own.
ACCOUNTS_LIMIT = 100
OTHER = 'other'


class _Histogram(msgspec.Struct):
    counts: list[int]
    sum_ms: float = 0.0

    def add(self, value_ms: float) -> None:
        for index, bound in enumerate(BUCKETS_MS):
            if value_ms <= bound:
                self.counts[index] += 1
                break
        else:
            self.counts[-1] += 1
        self.sum_ms += value_ms


class Metrics:
    """Metrics of an instance; the number of series is bounded."""

    def __init__(self) -> None:
        """Start at nothing."""
        self.counters: Counter[str] = Counter()
        self._results: Counter[tuple[str, str]] = Counter()
        self._first_answer: dict[str, _Histogram] = {}
        self._total: dict[str, _Histogram] = {}
        self._accounts: dict[str, Counter[str]] = {}
        self._account_first: dict[str, _Histogram] = {}
        self._gauges: list[tuple[str, Callable[[], float]]] = []

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are requested."""
        self._gauges.append((name, read))

    def record_request(self, route: str, end: str, first_ms: float, took_ms: float) -> None:
        """Record the result and the latencies of a request."""
        name = (
            route
            if route in self._first_answer or len(self._first_answer) < ROUTES_LIMIT
            else OTHER
        )
        self._results[name, end] += 1
        self._histogram(self._first_answer, name).add(first_ms)
        self._histogram(self._total, name).add(took_ms)

    def record_account_verdict(self, account: str, verdict: str) -> None:
        """Count a rate limit verdict on a request of an account."""
        self._accounts.setdefault(self._account_name(account), Counter())[verdict] += 1

    def account_verdicts(self, account: str) -> dict[str, int]:
        """Return the number of this instance's rate limit verdicts on an account, by verdict."""
        return dict(self._accounts.get(account, {}))

    def record_account_first_answer(self, account: str, first_ms: float) -> None:
        """Record how long an account's request waited for the start of its response."""
        self._histogram(self._account_first, self._account_name(account)).add(first_ms)

    def _account_name(self, account: str) -> str:
        known = account in self._accounts or account in self._account_first
        count = max(len(self._accounts), len(self._account_first))
        return account if known or count < ACCOUNTS_LIMIT else OTHER

    def text(self) -> str:
        """Return all metrics in the text format."""
        lines = []
        for (route, end), count in sorted(self._results.items()):
            lines.append(f'citrondyke_requests_total{{route="{route}",end="{end}"}} {count}')
        for account, counts in sorted(self._accounts.items()):
            for verdict, count in sorted(counts.items()):
                labels = f'account="{account}",verdict="{verdict}"'
                lines.append(f'citrondyke_account_uses_total{{{labels}}} {count}')
        for name, count in sorted(self.counters.items()):
            lines.append(f'citrondyke_{name}_total {count}')
        for name, read in self._gauges:
            lines.append(f'citrondyke_{name} {read():g}')
        lines += _histogram_lines('first_answer', self._first_answer)
        lines += _histogram_lines('answer', self._total)
        lines += _histogram_lines('account_first_answer', self._account_first, 'account')
        return '\n'.join(lines) + '\n'

    @staticmethod
    def _histogram(where: dict[str, _Histogram], name: str) -> _Histogram:
        if name not in where:
            where[name] = _Histogram([0] * (len(BUCKETS_MS) + 1))
        return where[name]


def _histogram_lines(
    name: str, histograms: dict[str, _Histogram], label: str = 'route'
) -> list[str]:
    lines = []
    for labelled, histogram in sorted(histograms.items()):
        which = f'{label}="{labelled}"'
        running = 0
        for bound, count in zip((*BUCKETS_MS, '+Inf'), histogram.counts, strict=True):
            running += count
            lines.append(f'citrondyke_{name}_ms_bucket{{{which},le="{bound}"}} {running}')
        lines.append(f'citrondyke_{name}_ms_sum{{{which}}} {histogram.sum_ms:.1f}')
        lines.append(f'citrondyke_{name}_ms_count{{{which}}} {running}')
    return lines
