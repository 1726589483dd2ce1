"""Messages between gateway instances are decoded as they were encoded."""

from __future__ import annotations

import contextlib
import random

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.decisions.servers.server_evidence import ServerEvidence
from citrondyke.decisions.streams.origin_records import OriginRecord
from citrondyke.decisions.streams.stream_origin import OriginView, StreamOrigin
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.peer_codec import (
    _SCHEMA,
    EvidenceNews,
    JobChanged,
    KnowledgeData,
    KnowledgeWanted,
    ListOffered,
    ListTold,
    LoadNotice,
    LoadTotals,
    OriginAsked,
    OriginTold,
    PeerMessage,
    PeerText,
    StoreAnswerData,
    StoreCallData,
    StreamOrigins,
    decode_message,
    encode_message,
)
from citrondyke.ids import ConfigVersion, InstanceId, JobId, ServiceName, SoftwareVersion

ORIGIN = StreamOrigin(ServiceName('lm'), SoftwareVersion('v1'))
TEXTS: list[PeerText] = [
    LoadNotice([ServerLoad(2**32 - 1, 3, 4), ServerLoad(0, 0, 0)]),
    LoadTotals([ServerLoad(7, 65_535, 0)]),
    EvidenceNews(
        [
            ServerEvidence(server=2**32 - 1, failed=255, unanswered=2, failure_age_ms=12.0),
            ServerEvidence(server=0, succeeded=3, recovered=1, success_age_ms=65_534.0),
        ]
    ),
    JobChanged(JobId('job')),
    KnowledgeWanted(),
    KnowledgeData(b'\0' * 100),
    ListTold(ServerListCursor('life', 3, 2**64 - 1, is_whole=True, store_version=2**40)),
    ListOffered(b'\0' * 100, ServerListCursor('life', 3)),
    StreamOrigins([OriginRecord(2**63 - 1, 'lm', 'v1', 6_000.0)]),
    OriginAsked(0, [ServiceName('lm')]),
    OriginTold(None, 0.0, OriginView(frozenset((ORIGIN,)), is_complete=True)),
    OriginTold(ORIGIN, 12.5, OriginView(frozenset(), is_complete=False)),
]


@pytest.mark.parametrize('text', TEXTS, ids=lambda text: type(text).__name__)
def test_message_survives_encoding_and_decoding(text: PeerText) -> None:
    message = PeerMessage(InstanceId('edge-1'), ConfigVersion(2**40), text)
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize('size', [0, 7, 4_000, 9_000, 70_000, 300_000])
@pytest.mark.parametrize('kind', [StoreCallData, StoreAnswerData])
def test_large_incompressible_values_survive_encoding(
    kind: type[StoreCallData] | type[StoreAnswerData], size: int
) -> None:
    # Values of jobs are compressed already. The packed encoding of such a message is longer than
    # the plain one, and the library's packed writer crashes the process on it.
    rng = random.Random(size)
    for share in (0.0, 0.12, 0.5):
        data = bytes(0 if rng.random() < share else rng.randrange(1, 256) for _ in range(size))
        message = PeerMessage(InstanceId('edge-1'), ConfigVersion(1), kind(data))
        assert decode_message(encode_message(message)) == message


def test_evidence_out_of_range_is_encoded_as_the_largest_value() -> None:
    row = ServerEvidence(server=1, failed=9_999, failure_age_ms=1e12, success_age_ms=-5.0)
    message = PeerMessage(InstanceId('edge-1'), ConfigVersion(1), EvidenceNews([row]))
    read = decode_message(encode_message(message)).text
    assert isinstance(read, EvidenceNews)
    assert read.rows == [
        ServerEvidence(server=1, failed=255, failure_age_ms=65_534.0, success_age_ms=0.0)
    ]


@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_nothing_but_value_error(data: bytes) -> None:
    with contextlib.suppress(ValueError):
        decode_message(data)


#: Fields of messages that hold encoded data.
DATA_FIELDS = (
    *('loadBytes', 'loadTotalsBytes', 'batchNeed', 'serverEvidence', 'useCounts'),
    *('listPosition', 'knowledgeOffered', 'streamOrigins', 'originAsked', 'originTold'),
)
PLAIN = st.one_of(
    st.none(), st.booleans(), st.integers(-(2**63), 2**64 - 1), st.floats(), st.text(), st.binary()
)
MSGPACK = st.recursive(
    PLAIN, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=12
).map(msgspec.msgpack.encode)


def message_with(field: str, data: bytes) -> bytes:
    built = _SCHEMA.GatewayMessage.new_message()
    built.sender = 'edge-1'
    if field == 'copy':
        built.init('leaseAnswered').copy = data
    elif field == 'suspects':
        built.init('suspects').requests = data
    else:
        setattr(built, field, data)
    encoded: bytes = built.to_bytes()
    return encoded


@pytest.mark.parametrize('field', [*DATA_FIELDS, 'copy', 'suspects'])
@example(b'\x91' * 5_000)
@example(b'\x95\x01\x01\x01\xc0' + b'\x91' * 5_000)
@example(b'\xff' * 15)
@given(st.one_of(MSGPACK, st.binary()))
def test_any_data_in_a_message_is_decoded_or_unreadable(field: str, data: bytes) -> None:
    # An error of another class would end the task that receives the messages of all peers.
    with contextlib.suppress(UnreadableBytesError):
        decode_message(message_with(field, data))


@pytest.mark.parametrize(
    'record',
    [
        OriginRecord(-1, 'lm', 'v1', 1.0),
        OriginRecord(1, '', 'v1', 1.0),
        OriginRecord(1, 'lm', '', 1.0),
        OriginRecord(1, 'lm', 'v' * 300, 1.0),
        OriginRecord(1, 'lm', 'v1', -1.0),
        OriginRecord(1, 'lm', 'v1', float('nan')),
    ],
)
def test_invalid_origin_is_rejected(record: OriginRecord) -> None:
    message = PeerMessage(InstanceId('edge-1'), ConfigVersion(1), StreamOrigins([record]))
    with pytest.raises(ValueError):
        decode_message(encode_message(message))
