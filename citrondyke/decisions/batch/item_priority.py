"""Which of the batch items that wait start first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood
from citrondyke.ids import ServiceName

__all__ = ('LATE_SLACK_MS', 'ItemPriority', 'batch_demand_of', 'count_by_likelihood', 'priority_of')

#: Errors of the estimate of what is left: later than this an item is late whatever is done.
LATE_SLACK_MS = -300.0


class ItemPriority(msgspec.Struct, frozen=True):
    """How an item stands that would start now."""

    prospect: CompletionLikelihood
    #: Time that is left when it ends, if it takes as long as usual.
    slack_ms: float
    #: A run of it was cut.
    has_begun: bool = False

    @property
    def order(self) -> tuple[CompletionLikelihood, bool, float]:
        """Give the place in the order of starts.

        What was cut comes first: it needs a place for the shortest time. What will be late if it
        is longer than usual starts the sooner the likelier it is in time: in the order of due
        times the places would go to items that become late one and all.
        """
        is_doubtful = self.prospect is CompletionLikelihood.DOUBTFUL
        slack_ms = -self.slack_ms if is_doubtful else self.slack_ms
        return self.prospect, not self.has_begun, slack_ms


def priority_of(slack_ms: float, margin_ms: float, *, has_begun: bool = False) -> ItemPriority:
    """Judge an item.

    :param slack_ms: time that is left if it starts now and takes as long as usual.
    :param margin_ms: by which items are longer than usual, as the case may be.
    """
    if slack_ms < LATE_SLACK_MS:
        return ItemPriority(CompletionLikelihood.LATE, slack_ms, has_begun)
    prospect = (
        CompletionLikelihood.DOABLE if slack_ms >= margin_ms else CompletionLikelihood.DOUBTFUL
    )
    return ItemPriority(prospect, slack_ms, has_begun)


def batch_demand_of(
    service: ServiceName, priorities: Iterable[ItemPriority], now_ms: float
) -> BatchDemand:
    """Sum up the items of a service that stand best.

    :param priorities: of all that wait; one at least.
    """
    priorities = list(priorities)
    best = min(each.prospect for each in priorities)
    slacks_ms = [each.slack_ms for each in priorities if each.prospect is best]
    return BatchDemand(service, best, len(slacks_ms), now_ms + min(slacks_ms))


def count_by_likelihood(priorities: Iterable[ItemPriority]) -> Counter[CompletionLikelihood]:
    """Count items by how they stand."""
    return Counter(each.prospect for each in priorities)
