"""How an instance finds out whether an account may have one more request."""

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
    """What was found out."""

    WITHIN = 'within'
    OVER = 'over'
    #: Nobody who may say answered.
    UNKNOWN = 'unknown'


class LimitVerdict(msgspec.Struct, frozen=True):
    """Whether a request may be sent to a server."""

    kind: VerdictKind
    #: When its caller may come back, where it may not.
    retry_in_ms: float = 0.0
    #: Who said so; empty for this instance itself.
    by: InstanceId = InstanceId('')
    #: When the request may be sent, where it may.
    start_in_ms: float = 0.0
    #: Whether a place is kept for the caller.
    is_kept: bool = False


class QuotaQuery(msgspec.Struct, frozen=True):
    """What has to be asked first."""

    receiver: InstanceId
    message: LimitMessage
    number: int


class FleetRateLimiter(ABC):
    """Keeps accounts within their limits over all instances; sends nothing itself.

    Answers one account that asks for many times what it may: in any window no more of its requests
    reach servers than its limit allows, however they spread over instances that come, go, stand
    still or hear nothing of each other, and the others do not notice.
    """

    @abstractmethod
    def next_step(
        self, account: Account, need: UseNeed, tried: set[InstanceId]
    ) -> LimitVerdict | QuotaQuery:
        """Decide about one request, or tell who must be asked.

        :param need: what the request needs of the limit.
        :param tried: who was asked for this request already.
        """

    @abstractmethod
    def apply_answer(
        self, account: Account, sender: InstanceId, answer: UseAnswered
    ) -> LimitVerdict | None:
        """Take in an answer; ``None`` when another one has to be asked."""

    @abstractmethod
    def record_no_reply(self, account: Account, receiver: InstanceId) -> None:
        """Take in that somebody did not answer in time."""

    @abstractmethod
    def on_message(self, sender: InstanceId, message: LimitMessage) -> list[Addressed]:
        """Take in what a peer sends, answers to questions left out, and give what to send."""

    @abstractmethod
    def tick(self) -> list[Addressed]:
        """Give what is to be sent from time to time."""

    def pending_messages(self) -> list[Addressed]:
        """Give what is to be sent after a step beside the question."""
        return []

    def advance_grant_calls(self) -> list[AdvanceGrantStoreCall]:
        """Give what the store is to be asked now."""
        return []

    def apply_advance_grant_row(
        self, call: AdvanceGrantStoreCall, row: AdvanceGrantRow | None
    ) -> list[Addressed]:
        """Take in what the store answered, ``None`` where it did not, and give what to send."""
        del call, row
        return []
