"""The sends of one request to servers, and whether it may be sent again."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from citrondyke.decisions.forwarding.route import Route
    from citrondyke.ids import ServerIncarnation

__all__ = ('SendHistory', 'SendOutcome', 'Verdict')

#: Servers that may reject one request before it is given up: further attempts would delay a caller
#: that can be answered at once.
REJECTIONS_LIMIT = 4


class SendOutcome(Enum):
    """How one send of a request to a server ended."""

    #: No connection was established; nothing was sent.
    NOT_SENT = 'not_sent'
    #: The server states that it did not run the request.
    REFUSED = 'refused'
    #: The server ran the request and answered with a failure.
    FAILED = 'failed'
    #: The server's run of a stream ended in order, and nothing proves that its stream has ended.
    UNCONFIRMED = 'unconfirmed'
    #: Aborted or unanswered after it was sent: it may have run.
    UNKNOWN = 'unknown'


class Verdict(Enum):
    """What the caller is told when a request is given up."""

    #: No server ran it and none will.
    NOT_RUN = 'not_run'
    #: A server may have run it.
    MAY_HAVE_RUN = 'may_have_run'


class SendHistory:
    """Record the sends of one request.

    Keeps rejections and broken connections apart: otherwise a caller would be told "not run" of an
    order that was booked.
    """

    def __init__(self, route: Route) -> None:
        """Start with nothing sent."""
        self._route = route
        self.excluded: set[ServerIncarnation] = set()
        self.sends_count = 0
        self._may_have_run_at: set[ServerIncarnation] = set()
        #: The event after which each server was last asked to go on.
        self._asked_after: dict[ServerIncarnation, int | None] = {}
        self._not_run_count = 0
        #: Servers whose last run ended in order, without a proof of the stream's end.
        self.unconfirmed_at: set[ServerIncarnation] = set()

    def record_send(
        self,
        incarnation: ServerIncarnation,
        outcome: SendOutcome,
        *,
        asked_after: int | None = None,
    ) -> None:
        """Record how a send ended.

        :param asked_after: id of the event after which the server was to resume a stream.
        """
        self.sends_count += 1
        self.excluded.add(incarnation)
        self._asked_after[incarnation] = asked_after
        self.unconfirmed_at.discard(incarnation)
        if outcome is SendOutcome.UNCONFIRMED:
            self.unconfirmed_at.add(incarnation)
        if outcome in (SendOutcome.NOT_SENT, SendOutcome.REFUSED):
            self._not_run_count += 1
        else:
            self._may_have_run_at.add(incarnation)

    @property
    def may_send(self) -> bool:
        """Return whether another server may be tried."""
        if self._not_run_count >= REJECTIONS_LIMIT:
            return False
        if not self._may_have_run_at:
            return True
        return self._route.may_repeat and len(self._may_have_run_at) < self._route.attempts_limit

    def servers_to_ask_again(
        self, last_event_id: int | None, stating: Collection[ServerIncarnation]
    ) -> frozenset[ServerIncarnation]:
        """Return the servers that may confirm the end of a stream though they ran it before.

        The limit on attempts counts servers, so that these add none. Each is asked at most once
        what follows an event, and never where it has stated the end.

        :param last_event_id: id of the last event of the stream.
        :param stating: servers that have stated that nothing follows it.
        """
        if not self._route.may_repeat or self._not_run_count >= REJECTIONS_LIMIT:
            return frozenset()
        return frozenset(
            server
            for server in self._may_have_run_at
            if server not in stating and self._asked_after[server] != last_event_id
        )

    @property
    def runs_count(self) -> int:
        """Count the servers that may have run the request."""
        return len(self._may_have_run_at)

    @property
    def is_last_attempt(self) -> bool:
        """Return whether the next attempt is the last one that may run the request.

        The last attempt may take until the caller's timeout: if it were aborted earlier, the
        request would fail although it is being processed.
        """
        return (
            not self._route.may_repeat
            or len(self._may_have_run_at) + 1 >= self._route.attempts_limit
        )

    def may_have_run_at(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a server may have run it."""
        return incarnation in self._may_have_run_at

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self._may_have_run_at else Verdict.NOT_RUN
