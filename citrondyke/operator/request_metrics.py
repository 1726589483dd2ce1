"""Metrics of an instance about the requests of its callers."""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.operator.histogram import HistogramData, SparseHistogram

if TYPE_CHECKING:
    from citrondyke.ids import ClassName, TenantId

__all__ = ('MetricsReport', 'Quantity', 'RequestMetrics', 'RequestSample')


class Quantity(Enum):
    """Quantity that a histogram shows."""

    FIRST_TOKEN = 'first_token'
    #: Mean time between the tokens of an answer.
    TOKEN_GAP = 'token_gap'
    TOTAL = 'total'


class RequestSample(msgspec.Struct, frozen=True, kw_only=True):
    """One finished request."""

    tenant_id: TenantId
    class_name: ClassName
    #: Error code, or ``ok``.
    outcome: str
    total_ms: float
    first_token_ms: float | None = None
    tokens_count: int = 0
    #: Whether the target of the class was met; ``None`` if it does not apply.
    is_kept: bool | None = None


class MetricsReport(msgspec.Struct, frozen=True):
    """All metrics of one instance, as sent to operators."""

    by_class: dict[str, dict[str, HistogramData]]
    by_tenant: dict[str, dict[str, HistogramData]]
    outcomes: dict[str, int]
    kept: dict[str, int]
    missed: dict[str, int]
    dropped_tenants_count: int


class RequestMetrics:
    """Histograms by class and by tenant, with bounded memory."""

    def __init__(self, tenants_limit: int) -> None:
        """Create empty histograms.

        :param tenants_limit: maximum number of tenants with histograms of their own; the least
            recently used one is dropped.
        """
        self.outcomes: Counter[str] = Counter()
        self.kept: Counter[str] = Counter()
        self.missed: Counter[str] = Counter()
        self.dropped_tenants_count = 0
        self._tenants_limit = tenants_limit
        self._by_class: dict[str, dict[Quantity, SparseHistogram]] = {}
        self._by_tenant: OrderedDict[str, dict[Quantity, SparseHistogram]] = OrderedDict()

    def add(self, sample: RequestSample) -> None:
        """Add a finished request."""
        self.outcomes[f'{sample.class_name}/{sample.outcome}'] += 1
        if sample.is_kept is not None:
            (self.kept if sample.is_kept else self.missed)[sample.class_name] += 1
        by_class = self._by_class.setdefault(sample.class_name, {})
        by_tenant = self._tenant_histograms(sample.tenant_id)
        for histograms in (by_class, by_tenant):
            _add_value(histograms, Quantity.TOTAL, sample.total_ms)
            if sample.first_token_ms is None:
                continue
            _add_value(histograms, Quantity.FIRST_TOKEN, sample.first_token_ms)
            if sample.tokens_count > 1:
                spread_ms = sample.total_ms - sample.first_token_ms
                _add_value(histograms, Quantity.TOKEN_GAP, spread_ms / (sample.tokens_count - 1))

    def report(self, *, with_tenants: bool) -> MetricsReport:
        """Return all metrics as sent to operators."""
        return MetricsReport(
            by_class=_histogram_data(self._by_class),
            by_tenant=_histogram_data(self._by_tenant) if with_tenants else {},
            outcomes=dict(self.outcomes),
            kept=dict(self.kept),
            missed=dict(self.missed),
            dropped_tenants_count=self.dropped_tenants_count,
        )

    def _tenant_histograms(self, tenant_id: TenantId) -> dict[Quantity, SparseHistogram]:
        histograms = self._by_tenant.get(tenant_id)
        if histograms is None:
            histograms = self._by_tenant[tenant_id] = {}
            if len(self._by_tenant) > self._tenants_limit:
                self._by_tenant.popitem(last=False)
                self.dropped_tenants_count += 1
        else:
            self._by_tenant.move_to_end(tenant_id)
        return histograms


def _add_value(
    histograms: dict[Quantity, SparseHistogram], quantity: Quantity, value_ms: float
) -> None:
    histogram = histograms.get(quantity)
    if histogram is None:
        histogram = histograms[quantity] = SparseHistogram()
    histogram.add(value_ms)


def _histogram_data(
    groups: dict[str, dict[Quantity, SparseHistogram]],
) -> dict[str, dict[str, HistogramData]]:
    return {
        name: {quantity.value: histogram.data() for quantity, histogram in histograms.items()}
        for name, histograms in groups.items()
    }
