"""Messages of limits arrive as they were sent, and bad ones do not arrive."""

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


def sent(message: LimitMessage) -> bytes:
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
def test_message_arrives_as_it_was_sent(message: LimitMessage) -> None:
    assert decode_message(sent(message)).text == LimitText(message)


@pytest.mark.parametrize('level', [float('nan'), float('inf')])
def test_copy_with_levels_that_are_no_numbers_is_unreadable(level: float) -> None:
    # Compared with such a level nothing is too much: an account would have no limit.
    copy = SlotCopy(7, 3, 11, 0.0, {TenantId('large'): level})
    with pytest.raises(ValueError, match='finite numbers'):
        decode_message(sent(FloorsTold(3, copy)))
