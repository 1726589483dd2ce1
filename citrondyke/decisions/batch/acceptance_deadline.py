"""How long a caller with a job is held while the store does not take it."""

from __future__ import annotations

import msgspec

__all__ = ('AcceptanceDeadline', 'begin_wait')

#: A job that cannot be made durable within this time is answered where its caller has to try
#: elsewhere; of some 5 s that a caller has, that leaves room for two more tries.
REDIRECT_AFTER_MS = 1_500.0
#: Before the caller's deadline: the last try's answer, the way back, and the caller's own reading.
ANSWER_MS = 300.0


class AcceptanceDeadline(msgspec.Struct):
    """One job on its way into the store.

    Answers a store that is away from everybody for seconds. A caller comes back once or twice, and
    is gone for good if the outage lasts longer than its tries together; while it is held, the
    store is asked all the time that it has. Another instance would do no better then: calls went
    by way of a peer as well.
    """

    #: When the caller is answered unless the store is found to be away.
    elsewhere_at_ms: float
    #: When it is answered in any case.
    last_at_ms: float
    is_store_away: bool = False

    def record_failed(self) -> None:
        """Take in that a try failed both directly and by way of a peer."""
        self.is_store_away = True

    @property
    def until_ms(self) -> float:
        """Give the time at which the caller is answered."""
        return self.last_at_ms if self.is_store_away else self.elsewhere_at_ms


def begin_wait(now_ms: float, deadline_ms: float, *, may_hold: bool) -> AcceptanceDeadline:
    """Begin to make a job durable.

    :param deadline_ms: of its caller.
    :param may_hold: whether it states one, and there is memory to hold its items for longer.
    """
    elsewhere_at_ms = now_ms + REDIRECT_AFTER_MS
    last_at_ms = max(elsewhere_at_ms, deadline_ms - ANSWER_MS) if may_hold else elsewhere_at_ms
    return AcceptanceDeadline(elsewhere_at_ms, last_at_ms)
