"""What instances tell each other of the uses of accounts."""

from __future__ import annotations

from enum import Enum

import msgspec

from citrondyke.ids import InstanceId, TenantId

__all__ = (
    'Addressed',
    'FloorsAcknowledged',
    'FloorsTold',
    'LeaseAnswered',
    'LeaseAsked',
    'LimitMessage',
    'SlotCopy',
    'UseAnswered',
    'UseAsked',
    'UseNeed',
    'UseOutcome',
)


class UseOutcome(Enum):
    """How a question for one use was answered."""

    GRANTED = 'granted'
    #: The account is over its limit.
    REFUSED = 'refused'
    #: The receiver may not say.
    NOT_STEWARD = 'not_steward'


class LimitMessage(msgspec.Struct, frozen=True):
    """What a message says."""


class UseNeed(msgspec.Struct, frozen=True):
    """What one request needs of its account's limit."""

    #: Names the work asked for, by 32 bits: it is the same when the caller comes back.
    work: int = 0
    #: Time until the caller's deadline.
    left_ms: float = 0.0
    #: How long the request may wait and still be answered within its target.
    may_wait_ms: float = 0.0


class UseAsked(LimitMessage, frozen=True):
    """Asks the account's steward for one use."""

    number: int
    account: TenantId
    need: UseNeed = UseNeed()
    #: Work of the account that the sender has refused without asking.
    refused: tuple[int, ...] = ()


class UseAnswered(LimitMessage, frozen=True):
    """The answer to it."""

    number: int
    outcome: UseOutcome
    #: When the caller may come back.
    retry_in_ms: float = 0.0
    #: For how long the asking instance need not ask again.
    pause_ms: float = 0.0
    #: Whether by the steward, not by one who stands in for it.
    is_steward: bool = False
    #: When the use may begin, where it is granted.
    start_in_ms: float = 0.0
    #: Whether a place is kept for the caller at the time that it is told.
    is_kept: bool = False
    #: Work for which places are kept that fall due during the pause.
    expected: tuple[int, ...] = ()


class SlotCopy(msgspec.Struct, frozen=True):
    """What a keeper knows of a lease: levels below which its holder did not let accounts fall.

    An account that is not named has at least half of its depth or, where that is less, what its
    rate has filled in ``filled_ms`` without half of its depth.
    """

    #: Chosen by the holder at random, so that no two leases share one.
    era: int
    #: Grows with every change.
    number: int
    #: Names the set of keepers by which the lease was had.
    keepers: int
    filled_ms: float
    floors: dict[TenantId, float]


class LeaseAsked(LimitMessage, frozen=True):
    """Asks a witness for a slot's lease."""

    slot: int
    number: int
    #: Whether the sender holds the lease and asks for more time only.
    is_renewal: bool = False
    #: Whether the sender can't hold it yet and only tells that it will ask.
    is_early: bool = False


class LeaseAnswered(LimitMessage, frozen=True):
    """The answer to it."""

    slot: int
    number: int
    is_granted: bool
    #: For how long nobody else has had the sender's word.
    free_ms: float = 0.0
    #: What the sender knows of the last lease; ``None`` where it may not be the last.
    copy: SlotCopy | None = None


class FloorsTold(LimitMessage, frozen=True):
    """Tells a keeper how far accounts may fall."""

    slot: int
    copy: SlotCopy


class FloorsAcknowledged(LimitMessage, frozen=True):
    """The answer to it."""

    slot: int
    era: int
    number: int


class Addressed(msgspec.Struct, frozen=True):
    """A message and who is sent it."""

    receiver: InstanceId
    message: LimitMessage
