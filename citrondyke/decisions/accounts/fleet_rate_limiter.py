"""Interface of the rate limiters that count an account over the whole fleet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import InstanceId

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.advance_grant_records import (
        AdvanceGrantRow,
        AdvanceGrantStoreCall,
    )
    from citrondyke.decisions.accounts.limit_messages import (
        Addressed,
        LimitMessage,
        UseAnswered,
        UseNeed,
    )

__all__ = ('FleetRateLimiter', 'LimitVerdict', 'QuotaQuery', 'VerdictKind')


class VerdictKind(Enum):
    """Outcome of a rate limit check."""

    WITHIN = 'within'
    OVER = 'over'
    #: No instance that may decide has answered.
    UNKNOWN = 'unknown'


class LimitVerdict(msgspec.Struct, frozen=True):
    """Result of the rate limit check of a request."""

    kind: VerdictKind
    #: Time after which the caller may retry, if the request is rejected.
    retry_in_ms: float = 0.0
    #: Instance that decided; empty for this instance.
    by: InstanceId = InstanceId('')
    #: Time after which the request may be sent, if it is within the limit.
    start_in_ms: float = 0.0
    #: Whether the caller has a reservation at the retry time.
    is_kept: bool = False


class QuotaQuery(msgspec.Struct, frozen=True):
    """A query that must be answered before the next step."""

    receiver: InstanceId
    message: LimitMessage
    number: int


class FleetRateLimiter(ABC):
    """Enforces the limits of accounts over all instances, without any I/O.

    Handles an account that sends many times its limit: in any window no more of its requests reach
    servers than the limit allows, however they are spread over instances, also while instances
    start, stop, are suspended or are partitioned. Other accounts aren't affected.
    """

    @abstractmethod
    def next_step(
        self, account: Account, need: UseNeed, tried: set[InstanceId]
    ) -> LimitVerdict | QuotaQuery:
        """Decide about one request, or return the next query.

        :param need: requirements of the request.
        :param tried: instances that have been queried for this request.
        """

    @abstractmethod
    def apply_answer(
        self, account: Account, sender: InstanceId, answer: UseAnswered
    ) -> LimitVerdict | None:
        """Apply an answer; return ``None`` if another instance has to be queried."""

    @abstractmethod
    def record_no_reply(self, account: Account, receiver: InstanceId) -> None:
        """Record that an instance did not answer in time."""

    @abstractmethod
    def on_message(self, sender: InstanceId, message: LimitMessage) -> list[Addressed]:
        """Handle a message from a peer, except answers to queries.

        :returns: the messages to send.
        """

    @abstractmethod
    def tick(self) -> list[Addressed]:
        """Return the messages that are sent periodically."""

    def pending_messages(self) -> list[Addressed]:
        """Return the messages to send after a step, besides its query."""
        return []

    def advance_grant_calls(self) -> list[AdvanceGrantStoreCall]:
        """Return the store calls that are due for the advance grant records."""
        return []

    def apply_advance_grant_row(
        self, call: AdvanceGrantStoreCall, row: AdvanceGrantRow | None
    ) -> list[Addressed]:
        """Apply the store's reply to a call, ``None`` if it failed.

        :returns: the messages to send.
        """
        del call, row
        return []
