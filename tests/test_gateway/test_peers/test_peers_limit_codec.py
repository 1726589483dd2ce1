"""Limit messages are decoded as they were encoded, and invalid ones are rejected."""

from __future__ import annotations

import pytest

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
from citrondyke.gateway.peers.peer_codec import (
    LimitText,
    PeerMessage,
    decode_message,
    encode_message,
)
from citrondyke.ids import ConfigVersion, InstanceId, TenantId

COPY = SlotCopy(7, 3, 11, -1_500.0, {TenantId('large'): -20.5})


def encoded(message: LimitMessage) -> bytes:
    return encode_message(PeerMessage(InstanceId('a'), ConfigVersion(1), LimitText(message)))


@pytest.mark.parametrize(
    'message',
    [
        UseAsked(1, TenantId('large'), UseNeed(4_000_000_000, 5_000.0, 120.0)),
        UseAsked(2, TenantId('large'), UseNeed(), (0, 7, 2**32 - 1)),
        UseAnswered(1, UseOutcome.GRANTED, is_steward=True, start_in_ms=80.0),
        UseAnswered(2, UseOutcome.REFUSED, 1_500.0, 64.0, is_steward=True, expected=(5, 2**32 - 1)),
        UseAnswered(3, UseOutcome.REFUSED, 1_500.0, is_steward=True, is_kept=True),
        LeaseAsked(3, 9, is_renewal=True),
        LeaseAsked(3, 0, is_early=True),
        LeaseAnswered(3, 9, True, 12.0, COPY),
        LeaseAnswered(3, 9, False, 12.0),
        FloorsTold(3, COPY),
        FloorsAcknowledged(3, 7, 3),
    ],
)
def test_message_survives_encoding_and_decoding(message: LimitMessage) -> None:
    assert decode_message(encoded(message)).text == LimitText(message)


@pytest.mark.parametrize('floor', [float('nan'), float('inf')])
def test_copy_with_floor_that_is_not_finite_is_rejected(floor: float) -> None:
    # No use exceeds such a floor in a comparison, so the account would have no limit.
    copy = SlotCopy(7, 3, 11, 0.0, {TenantId('large'): floor})
    with pytest.raises(ValueError, match='finite numbers'):
        decode_message(encoded(FloorsTold(3, copy)))
