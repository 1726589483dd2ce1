"""Messages between instances about the uses of accounts."""

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
    """Outcome of a query for one use."""

    GRANTED = 'granted'
    #: The account is over its limit.
    REFUSED = 'refused'
    #: The receiver isn't the steward and may not decide.
    NOT_STEWARD = 'not_steward'


class LimitMessage(msgspec.Struct, frozen=True):
    """Base class of the messages about rate limits."""


class UseNeed(msgspec.Struct, frozen=True):
    """Requirements of one request for the rate limit check."""

    #: 32-bit identifier of the requested work, the same when the caller retries.
    work: int = 0
    #: Time until the caller's deadline.
    left_ms: float = 0.0
    #: Longest wait after which the request can still be answered within its target.
    may_wait_ms: float = 0.0


class UseAsked(LimitMessage, frozen=True):
    """Query to the account's steward for one use."""

    number: int
    account: TenantId
    need: UseNeed = UseNeed()
    #: Work of the account that the sender has rejected locally.
    refused: tuple[int, ...] = ()


class UseAnswered(LimitMessage, frozen=True):
    """Answer to :class:`UseAsked`."""

    number: int
    outcome: UseOutcome
    #: Time after which the caller may retry.
    retry_in_ms: float = 0.0
    #: Time for which the querying instance rejects requests locally.
    pause_ms: float = 0.0
    #: Whether the steward answered, rather than a replica from its fallback allowance.
    is_steward: bool = False
    #: Time after which a granted use may begin.
    start_in_ms: float = 0.0
    #: Whether the caller has a reservation at the retry time.
    is_kept: bool = False
    #: Work with reservations that fall due during the pause.
    expected: tuple[int, ...] = ()


class SlotCopy(msgspec.Struct, frozen=True):
    """A replica's copy of a lease: floors below which the holder didn't let accounts fall.

    The remaining quota of an account that isn't named is at least half of its depth or, if that is
    less, the refill of its rate in ``filled_ms`` minus half of its depth.
    """

    #: Lease epoch, chosen by the holder at random so that no two leases share one.
    era: int
    #: Grows with every change.
    number: int
    #: Identifier of the replica set that granted the lease.
    keepers: int
    filled_ms: float
    floors: dict[TenantId, float]


class LeaseAsked(LimitMessage, frozen=True):
    """Request to a voter for a slot's lease."""

    slot: int
    number: int
    #: Whether the sender holds the lease and only renews it.
    is_renewal: bool = False
    #: Whether the sender can't hold the lease yet and only announces its request.
    is_early: bool = False


class LeaseAnswered(LimitMessage, frozen=True):
    """Answer to :class:`LeaseAsked`."""

    slot: int
    number: int
    is_granted: bool
    #: Time for which no other instance has had the sender's vote.
    free_ms: float = 0.0
    #: The sender's copy of the last lease; ``None`` if it may be stale.
    copy: SlotCopy | None = None


class FloorsTold(LimitMessage, frozen=True):
    """The floors of a lease, sent by its holder to a replica."""

    slot: int
    copy: SlotCopy


class FloorsAcknowledged(LimitMessage, frozen=True):
    """Answer to :class:`FloorsTold`."""

    slot: int
    era: int
    number: int


class Addressed(msgspec.Struct, frozen=True):
    """A message with its receiver."""

    receiver: InstanceId
    message: LimitMessage
