"""Demand for capacity that an owner of waiting batch items publishes to its peers."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from citrondyke.ids import ServiceName

__all__ = ('BatchDemand', 'CompletionLikelihood', 'DemandNotice')


class CompletionLikelihood(IntEnum):
    """How likely an item that starts now finishes by its due time; lower values start first."""

    DOABLE = 0
    #: Finishes late if it takes longer than the average item.
    DOUBTFUL = 1
    LATE = 2


class BatchDemand(msgspec.Struct, frozen=True):
    """The waiting items of one service at one owner that have the best completion likelihood."""

    service: ServiceName
    likelihood: CompletionLikelihood
    waiting_count: int
    #: Latest time at which the most urgent of them can start and still finish by its due time, on
    #: the monotonic clock of the instance that holds this object.
    start_by_ms: float


class DemandNotice(msgspec.Struct, frozen=True, array_like=True):
    """Batch demand as sent to peers; its time is relative, because the clocks differ."""

    service: ServiceName
    likelihood: int
    waiting_count: int
    start_in_ms: float
