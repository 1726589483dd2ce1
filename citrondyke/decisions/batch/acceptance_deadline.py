"""How long the caller of a job waits while the store does not accept the job."""

from __future__ import annotations

import msgspec

__all__ = ('AcceptanceDeadline', 'begin_acceptance')

#: Time after which the caller of a job that is not durable yet is told to try another instance.
#: Callers have about 5 s, so this leaves time for two more attempts.
REDIRECT_AFTER_MS = 1_500.0
#: Reserved before the caller's deadline for the reply to the last attempt, its transfer to the
#: caller and the caller's reading of it.
ANSWER_MARGIN_MS = 300.0


class AcceptanceDeadline(msgspec.Struct):
    """Times at which the caller of one job is answered while the job is being stored.

    Handles a store that no instance reaches for seconds. A caller retries once or twice, and its
    job is lost if the outage outlasts these attempts together; while the caller is held, the
    write is retried until the caller's deadline. Redirecting it to another instance would not
    help, because the call has also failed through a peer.
    """

    #: When the caller is answered unless the store is found to be unreachable.
    redirect_at_ms: float
    #: When it is answered in any case.
    latest_answer_ms: float
    is_store_unreachable: bool = False

    def record_failed(self) -> None:
        """Record that an attempt failed both directly and through a peer."""
        self.is_store_unreachable = True

    @property
    def answer_at_ms(self) -> float:
        """Return the time at which the caller is answered."""
        return self.latest_answer_ms if self.is_store_unreachable else self.redirect_at_ms


def begin_acceptance(now_ms: float, deadline_ms: float, *, may_hold: bool) -> AcceptanceDeadline:
    """Return the deadlines of a job that is about to be stored.

    :param deadline_ms: deadline of the caller.
    :param may_hold: whether the caller stated a deadline and there is memory to keep the job's
        items until then.
    """
    redirect_at_ms = now_ms + REDIRECT_AFTER_MS
    latest_answer_ms = (
        max(redirect_at_ms, deadline_ms - ANSWER_MARGIN_MS) if may_hold else redirect_at_ms
    )
    return AcceptanceDeadline(redirect_at_ms, latest_answer_ms)
