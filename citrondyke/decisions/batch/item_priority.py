"""Order in which waiting batch items start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood
from citrondyke.ids import ServiceName

__all__ = ('LATE_SLACK_MS', 'ItemPriority', 'batch_demand_of', 'count_by_likelihood', 'priority_of')

#: Allowance for errors of the estimated remaining time: below this slack an item is certainly late.
LATE_SLACK_MS = -300.0


class ItemPriority(msgspec.Struct, frozen=True):
    """Priority of an item if it started now."""

    likelihood: CompletionLikelihood
    #: Time between its expected end and its due time.
    slack_ms: float
    #: Whether an earlier run of it was interrupted.
    has_begun: bool = False

    @property
    def order(self) -> tuple[CompletionLikelihood, bool, float]:
        """Return the sort key by which items start.

        Interrupted items come first, because they need capacity for the shortest time. Doubtful
        items start in descending order of slack, the likeliest to finish in time first: in the
        order of due times, capacity would go to items that all become late.
        """
        is_doubtful = self.likelihood is CompletionLikelihood.DOUBTFUL
        slack_ms = -self.slack_ms if is_doubtful else self.slack_ms
        return self.likelihood, not self.has_begun, slack_ms


def priority_of(slack_ms: float, margin_ms: float, *, has_begun: bool = False) -> ItemPriority:
    """Return the priority of an item.

    :param slack_ms: time left before its due time if it starts now and takes the average time.
    :param margin_ms: time by which items commonly exceed the average.
    """
    if slack_ms < LATE_SLACK_MS:
        return ItemPriority(CompletionLikelihood.LATE, slack_ms, has_begun)
    likelihood = (
        CompletionLikelihood.DOABLE if slack_ms >= margin_ms else CompletionLikelihood.DOUBTFUL
    )
    return ItemPriority(likelihood, slack_ms, has_begun)


def batch_demand_of(
    service: ServiceName, priorities: Iterable[ItemPriority], now_ms: float
) -> BatchDemand:
    """Summarize the waiting items of a service that have the best completion likelihood.

    :param priorities: of all waiting items; at least one.
    """
    priorities = list(priorities)
    best = min(each.likelihood for each in priorities)
    slacks_ms = [each.slack_ms for each in priorities if each.likelihood is best]
    return BatchDemand(service, best, len(slacks_ms), now_ms + min(slacks_ms))


def count_by_likelihood(priorities: Iterable[ItemPriority]) -> Counter[CompletionLikelihood]:
    """Count items by completion likelihood."""
    return Counter(each.likelihood for each in priorities)
