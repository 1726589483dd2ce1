"""Encoding of the messages about the uses of accounts."""

from __future__ import annotations

import math
import struct
from typing import Any

import msgspec

from citrondyke.decisions.accounts.limit_messages import (
    FloorsAcknowledged,
    FloorsTold,
    LeaseAnswered,
    LeaseAsked,
    LimitMessage,
    SlotCopy,
    UseAnswered,
    UseAsked,
    UseNeed,
    UseOutcome,
)
from citrondyke.ids import TenantId
from citrondyke.util.decoding import decode_msgpack

__all__ = ('LIMIT_READERS', 'build_limit')

_OUTCOME_NAMES = {
    UseOutcome.GRANTED: 'granted',
    UseOutcome.REFUSED: 'refused',
    UseOutcome.NOT_STEWARD: 'notSteward',
}
_OUTCOMES = {name: outcome for outcome, name in _OUTCOME_NAMES.items()}
_WORK = struct.Struct('<I')


class _FloorsMessage(msgspec.Struct, array_like=True):
    """A steward's floors; without a copy, their acknowledgement."""

    slot: int
    era: int
    number: int
    copy: SlotCopy | None = None


def build_limit(built: Any, message: LimitMessage) -> None:
    """Write a limit message into a message between instances.

    :raises TypeError: if the schema has no field for the message.
    """
    if isinstance(message, UseAsked):
        request = built.init('useAsked')
        request.number, request.account = message.number, message.account
        request.work = message.need.work
        request.leftMs, request.mayWaitMs = message.need.left_ms, message.need.may_wait_ms
        if message.refused:
            request.refused = _pack_works(message.refused)
    elif isinstance(message, UseAnswered):
        _build_answered(built.init('useAnswered'), message)
    elif isinstance(message, LeaseAsked):
        lease = built.init('leaseAsked')
        lease.slot, lease.number = message.slot, message.number
        lease.isRenewal, lease.isEarly = message.is_renewal, message.is_early
    elif isinstance(message, LeaseAnswered):
        answered = built.init('leaseAnswered')
        answered.slot, answered.number = message.slot, message.number
        answered.isGranted, answered.freeMs = message.is_granted, message.free_ms
        if message.copy is not None:
            answered.copy = msgspec.msgpack.encode(message.copy)
    elif isinstance(message, FloorsTold):
        copy = message.copy
        floors_message = _FloorsMessage(message.slot, copy.era, copy.number, copy)
        built.useCounts = msgspec.msgpack.encode(floors_message)
    elif isinstance(message, FloorsAcknowledged):
        acknowledgement = _FloorsMessage(message.slot, message.era, message.number)
        built.useCounts = msgspec.msgpack.encode(acknowledgement)
    else:
        raise TypeError(type(message).__name__)


def _build_answered(answered: Any, message: UseAnswered) -> None:
    answered.number = message.number
    answered.outcome = _OUTCOME_NAMES[message.outcome]
    answered.retryInMs, answered.pauseMs = message.retry_in_ms, message.pause_ms
    answered.isSteward = message.is_steward
    answered.startInMs, answered.isKept = message.start_in_ms, message.is_kept
    if message.expected:
        answered.expected = _pack_works(message.expected)


def _pack_works(works: tuple[int, ...]) -> bytes:
    return b''.join(_WORK.pack(work) for work in works)


def _unpack_works(data: Any) -> tuple[int, ...]:
    return tuple(work for (work,) in _WORK.iter_unpack(bytes(data)))


def _read_use_asked(read: Any) -> UseAsked:
    request = read.useAsked
    need = UseNeed(request.work, request.leftMs, request.mayWaitMs)
    refused = _unpack_works(request.refused)
    return UseAsked(request.number, TenantId(request.account), need, refused)


def _read_use_answered(read: Any) -> UseAnswered:
    answered = read.useAnswered
    return UseAnswered(
        answered.number,
        _OUTCOMES[str(answered.outcome)],
        answered.retryInMs,
        answered.pauseMs,
        answered.isSteward,
        answered.startInMs,
        answered.isKept,
        _unpack_works(answered.expected),
    )


def _read_lease_answered(read: Any) -> LeaseAnswered:
    answered = read.leaseAnswered
    copy = None
    if answered.copy:
        copy = _validate_copy(decode_msgpack(bytes(answered.copy), SlotCopy))
    return LeaseAnswered(answered.slot, answered.number, answered.isGranted, answered.freeMs, copy)


def _read_counts(read: Any) -> LimitMessage:
    counts = decode_msgpack(bytes(read.useCounts), _FloorsMessage)
    if counts.copy is None:
        return FloorsAcknowledged(counts.slot, counts.era, counts.number)
    return FloorsTold(counts.slot, _validate_copy(counts.copy))


def _validate_copy(copy: SlotCopy) -> SlotCopy:
    """Return the copy if all of its values are finite numbers.

    Comparisons with NaN or infinity would let every use through, so the account would have no
    limit.

    :raises ValueError: if a value is NaN or infinite.
    """
    if not all(math.isfinite(each) for each in (copy.filled_ms, *copy.floors.values())):
        raise ValueError('time and floors must be finite numbers')
    return copy


LIMIT_READERS: dict[str, Any] = {
    'useAsked': _read_use_asked,
    'useAnswered': _read_use_answered,
    'leaseAsked': lambda read: LeaseAsked(
        read.leaseAsked.slot,
        read.leaseAsked.number,
        read.leaseAsked.isRenewal,
        read.leaseAsked.isEarly,
    ),
    'leaseAnswered': _read_lease_answered,
    'useCounts': _read_counts,
}
