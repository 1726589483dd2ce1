"""What has become of one request at the servers, and what may still be done with it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.ids import ServerIncarnation

__all__ = ('SendHistory', 'SendOutcome', 'Verdict')

#: Servers that may turn one request away before it is given up: more tries would hold a caller
#: who could be told at once.
REJECTIONS_LIMIT = 4


class SendOutcome(Enum):
    """How one send of a request to a server ended."""

    #: No connection came about; nothing was sent.
    NOT_SENT = 'not_sent'
    #: The server states that it did not run it.
    REFUSED = 'refused'
    #: The server ran it and answered with a failure.
    FAILED = 'failed'
    #: Cut or silent after it was sent: it may have run.
    UNKNOWN = 'unknown'


class Verdict(Enum):
    """What a caller is told when a request is given up."""

    #: No server ran it and none will.
    NOT_RUN = 'not_run'
    #: A server may have run it.
    MAY_HAVE_RUN = 'may_have_run'


class SendHistory:
    """The sends of one request.

    A failure that is not repeated: without the distinction between a refusal and a broken
    connection a caller would be told "not run" of an order that was booked.
    """

    def __init__(self, route: Route) -> None:
        """Start with nothing sent."""
        self._route = route
        self.excluded: set[ServerIncarnation] = set()
        self.sends_count = 0
        self._may_have_run_at: set[ServerIncarnation] = set()
        self._not_run_count = 0

    def record_send(self, life: ServerIncarnation, outcome: SendOutcome) -> None:
        """Take in how a send ended."""
        self.sends_count += 1
        self.excluded.add(life)
        if outcome in (SendOutcome.NOT_SENT, SendOutcome.REFUSED):
            self._not_run_count += 1
        else:
            self._may_have_run_at.add(life)

    @property
    def may_send(self) -> bool:
        """Tell whether another server may be tried."""
        if self._not_run_count >= REJECTIONS_LIMIT:
            return False
        if not self._may_have_run_at:
            return True
        return self._route.may_repeat and len(self._may_have_run_at) < self._route.attempts_limit

    @property
    def is_last_attempt(self) -> bool:
        """Tell whether no other server may be tried once the next one may have run the request.

        What runs then is waited for as long as its caller waits: cut, it would be given up for
        nothing.
        """
        return (
            not self._route.may_repeat
            or len(self._may_have_run_at) + 1 >= self._route.attempts_limit
        )

    def may_have_run_at(self, life: ServerIncarnation) -> bool:
        """Tell whether a server may have run it."""
        return life in self._may_have_run_at

    @property
    def verdict(self) -> Verdict:
        """Tell what is known."""
        return Verdict.MAY_HAVE_RUN if self._may_have_run_at else Verdict.NOT_RUN
