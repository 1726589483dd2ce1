"""Messages between instances are decoded unchanged, authenticated, and accepted once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.membership.peer_messages import (
    Ack,
    ConfigPush,
    JobStopped,
    MemberFact,
    MemberState,
    OnlineNotice,
    Ping,
    ServerState,
)
from citrondyke.errors import PeerAuthenticationError
from citrondyke.ids import ConfigVersion, InstanceId, JobId, ServerId
from citrondyke.peer.codec import ConfigChanges, ConfigPull, Envelope, PeerCodec
from citrondyke.peer.replay_window import ReplayWindow

CHANGE = ConfigChange(version=ConfigVersion(7), edits=(), who='olive', accepted_at_epoch_ms=1.0)
FACTS = (MemberFact(InstanceId('b'), MemberState.SUSPECT, 4),)
MESSAGES = [
    Ping(1, FACTS),
    Ack(2, FACTS),
    OnlineNotice(ServerId('s'), 3, 4100),
    ServerState(ServerId('s'), 1, 64, 33, True),
    ConfigPush(CHANGE),
    JobStopped(JobId('j')),
    ConfigPull(ConfigVersion(3)),
    ConfigChanges((CHANGE, CHANGE)),
]
OLD_KEY, NEW_KEY = b'an-old-key-of-ours', b'a-new-key-of-ours'


@pytest.mark.parametrize('message', MESSAGES, ids=lambda message: type(message).__name__)
def test_message_survives_encoding_and_decoding(message: object) -> None:
    codec = PeerCodec([NEW_KEY])
    envelope = Envelope(InstanceId('a'), 1, 2, ConfigVersion(3), message)  # type: ignore[arg-type]
    assert codec.decode(codec.encode(envelope)) == envelope


def test_old_key_is_accepted_during_rotation() -> None:
    envelope = Envelope(InstanceId('a'), 1, 2, ConfigVersion(3), Ping(1))
    signed_old = PeerCodec([OLD_KEY]).encode(envelope)
    assert PeerCodec([NEW_KEY, OLD_KEY]).decode(signed_old) == envelope
    with pytest.raises(PeerAuthenticationError):
        PeerCodec([NEW_KEY]).decode(signed_old)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_an_authentication_error(data: bytes) -> None:
    with pytest.raises(PeerAuthenticationError):
        PeerCodec([NEW_KEY]).decode(data)


@given(st.integers(0, 200), st.integers(1, 255))
def test_message_with_a_changed_byte_is_rejected(index: int, flip: int) -> None:
    codec = PeerCodec([NEW_KEY])
    envelope = Envelope(InstanceId('a'), 1, 2, ConfigVersion(3), Ping(1, FACTS))
    data = bytearray(codec.encode(envelope))
    data[index % len(data)] ^= flip
    with pytest.raises(PeerAuthenticationError):
        codec.decode(bytes(data))


@given(st.lists(st.integers(1, 400), min_size=1, max_size=200))
def test_no_number_is_accepted_twice(numbers: list[int]) -> None:
    window = ReplayWindow()
    accepted = [n for n in numbers if window.accept(InstanceId('a'), 1, n)]
    assert len(accepted) == len(set(accepted))
    assert not window.accept(InstanceId('a'), 0, 1000), 'an older incarnation'
    assert window.accept(InstanceId('a'), 2, 1), 'a newer incarnation'
