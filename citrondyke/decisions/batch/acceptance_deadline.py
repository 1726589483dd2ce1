"""How long a caller with a job is held while the store does not take it."""

from __future__ import annotations

import msgspec

__all__ = ('AcceptanceDeadline', 'begin_acceptance')

#: A job that cannot be made durable within this time is answered where its caller has to try
#: elsewhere; of some 5 s that a caller has, that leaves room for two more tries.
REDIRECT_AFTER_MS = 1_500.0
#: Before the caller's deadline: the last try's answer, the way back, and the caller's own reading.
ANSWER_MARGIN_MS = 300.0


class AcceptanceDeadline(msgspec.Struct):
    """One job on its way into the store.

    Answers a store that is away from everybody for seconds. A caller comes back once or twice, and
    is gone for good if the outage lasts longer than its tries together; while it is held, the
    store is asked all the time that it has. Another instance would do no better then: calls went
    by way of a peer as well.
    """

    #: When the caller is answered unless the store is found to be away.
    redirect_at_ms: float
    #: When it is answered in any case.
    latest_answer_ms: float
    is_store_unreachable: bool = False

    def record_failed(self) -> None:
        """Take in that a try failed both directly and by way of a peer."""
        self.is_store_unreachable = True

    @property
    def answer_at_ms(self) -> float:
        """Give the time at which the caller is answered."""
        return self.latest_answer_ms if self.is_store_unreachable else self.redirect_at_ms


def begin_acceptance(now_ms: float, deadline_ms: float, *, may_hold: bool) -> AcceptanceDeadline:
    """Begin to make a job durable.

    :param deadline_ms: of its caller.
    :param may_hold: whether it states one, and there is memory to hold its items for longer.
    """
    redirect_at_ms = now_ms + REDIRECT_AFTER_MS
    latest_answer_ms = (
        max(redirect_at_ms, deadline_ms - ANSWER_MARGIN_MS) if may_hold else redirect_at_ms
    )
    return AcceptanceDeadline(redirect_at_ms, latest_answer_ms)
