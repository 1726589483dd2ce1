"""What an owner of batch items tells of those that wait."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from citrondyke.ids import ServiceName

__all__ = ('BatchDemand', 'CompletionLikelihood', 'DemandNotice')


class CompletionLikelihood(IntEnum):
    """How likely an item that starts now is done when it is due; the lower the sooner it starts."""

    DOABLE = 0
    #: It will be late if it is longer than usual.
    DOUBTFUL = 1
    LATE = 2


class BatchDemand(msgspec.Struct, frozen=True):
    """The items of one service that wait at one owner and stand best."""

    service: ServiceName
    prospect: CompletionLikelihood
    waiting_count: int
    #: When the first of them must start to be done in time, by the monotonic clock of whoever
    #: holds this.
    start_by_ms: float


class DemandNotice(msgspec.Struct, frozen=True, array_like=True):
    """A need as instances tell it to each other, whose clocks differ."""

    service: ServiceName
    prospect: int
    waiting_count: int
    start_in_ms: float
