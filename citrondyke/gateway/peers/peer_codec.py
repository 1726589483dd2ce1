"""Messages between gateway instances as Cap'n Proto."""

from __future__ import annotations

import os
import struct
from typing import Any

import capnp
import msgspec

from citrondyke.decisions.accounts.limit_messages import (
    LeaseAnswered,
    LeaseAsked,
    LimitMessage,
    UseAnswered,
    UseAsked,
    UseOutcome,
)
from citrondyke.decisions.batch.batch_need import ToldNeed
from citrondyke.decisions.crashes.content import RequestContent
from citrondyke.decisions.crashes.news_queue import NewsKind, SuspectNews
from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.knowledge.list_position import ListPosition
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.need_codec import pack_needs, unpack_needs
from citrondyke.ids import ConfigVersion, ContentDigest, InstanceId, JobId, TenantId
from citrondyke.util.decoding import decode_msgpack

__all__ = (
    'BatchNeeds',
    'CrashNews',
    'JobChanged',
    'KnowledgeData',
    'KnowledgeWanted',
    'LimitText',
    'ListOffered',
    'ListTold',
    'LoadNotice',
    'LoadTotals',
    'PeerMessage',
    'PeerText',
    'StoreAnswerData',
    'StoreCallData',
    'decode_message',
    'encode_message',
)

_PACKAGE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
_SCHEMA = capnp.load(os.path.join(_PACKAGE, 'peer', 'gateway.capnp'))
#: Counts are 16 bits wide on the wire; a server has tens of places.
COUNT_LIMIT = 65_535
#: A server's digest and its counts.
_LOAD = struct.Struct('<IHH')
#: A request's digest, the bucket of its target and what is told of it.
_SUSPECT = struct.Struct('<10sIB')


_OUTCOME_NAMES = {
    UseOutcome.GRANTED: 'granted',
    UseOutcome.REFUSED: 'refused',
    UseOutcome.NOT_STEWARD: 'notSteward',
}
_OUTCOMES = {name: outcome for outcome, name in _OUTCOME_NAMES.items()}


class PeerText(msgspec.Struct, frozen=True):
    """What a message says."""


class LoadNotice(PeerText, frozen=True):
    """Requests that the sender has on servers."""

    loads: list[ServerLoad]


class LoadTotals(PeerText, frozen=True):
    """Requests that all instances have on the servers of the sender's availability zone."""

    loads: list[ServerLoad]


class CrashNews(PeerText, frozen=True):
    """Requests that were under way at a server that ended, or that were answered well."""

    #: Digest of the server's life; 0 where none has ended.
    server: int
    news: list[SuspectNews]


class BatchNeeds(PeerText, frozen=True):
    """Batch items that wait at the sender; none where the list is empty."""

    needs: list[ToldNeed]


class JobChanged(PeerText, frozen=True):
    """A job's head changed."""

    job_id: JobId


class KnowledgeWanted(PeerText, frozen=True):
    """Asks for what the receiver knows beyond the sender, whose configuration the message names."""

    #: Instances of which the sender has the address, itself included.
    instances_count: int = 0
    #: Of the list of servers that the sender has; 0 for none.
    list_digest: int = 0
    #: Instances of an earlier version do not.
    takes_compressed: bool = False


class KnowledgeData(PeerText, frozen=True):
    """What an instance knows, encoded."""

    data: bytes


class StoreCallData(PeerText, frozen=True):
    """A call of the store, encoded."""

    data: bytes


class StoreAnswerData(PeerText, frozen=True):
    """The answer to it."""

    data: bytes


class LimitText(PeerText, frozen=True):
    """What is told of the uses of accounts."""

    message: LimitMessage


class ListTold(PeerText, frozen=True):
    """How far a reader knows the list of servers; over a stream, how far who asks has heard it."""

    position: ListPosition


class ListOffered(PeerText, frozen=True):
    """Rows of that list, encoded, and how far the reader is."""

    data: bytes
    position: ListPosition


class PeerMessage(msgspec.Struct, frozen=True):
    """A message and its sender."""

    sender: InstanceId
    config_version: ConfigVersion
    text: PeerText


_DATA_FIELDS: dict[type[PeerText], str] = {
    KnowledgeData: 'knowledge',
    StoreCallData: 'storeCall',
    StoreAnswerData: 'storeAnswer',
}


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    built = _SCHEMA.GatewayMessage.new_message()
    built.sender = message.sender
    built.configVersion = message.config_version
    text = message.text
    if isinstance(text, LoadNotice):
        built.loadBytes = _pack_loads(text.loads)
    elif isinstance(text, LoadTotals):
        built.loadTotalsBytes = _pack_loads(text.loads)
    elif isinstance(text, CrashNews):
        told = built.init('suspects')
        told.server = text.server
        told.requests = _pack_suspects(text.news)
    elif isinstance(text, BatchNeeds):
        built.batchNeed = pack_needs(text.needs)
    elif isinstance(text, JobChanged):
        built.jobChanged = text.job_id
    elif isinstance(text, KnowledgeData | StoreCallData | StoreAnswerData):
        setattr(built, _DATA_FIELDS[type(text)], text.data)
    elif isinstance(text, ListTold):
        built.listPosition = msgspec.msgpack.encode(text.position)
    elif isinstance(text, ListOffered):
        built.knowledgeOffered = msgspec.msgpack.encode(text)
    elif isinstance(text, LimitText):
        _build_limit(built, text.message)
    elif isinstance(text, KnowledgeWanted):
        wanted = built.init('knowledgeAsked')
        wanted.instancesCount, wanted.listDigest = text.instances_count, text.list_digest
        wanted.takesCompressed = text.takes_compressed
    else:
        # Each kind has its field above; a new one without would ask peers for something else.
        raise TypeError(type(text).__name__)
    # Not packed: the library's packed writer ended processes by a segmentation fault on messages
    # of over 8 KB whose packed form is longer than the plain one, as of compressed values.
    data: bytes = built.to_bytes()
    return data


def _build_limit(built: Any, message: LimitMessage) -> None:
    if isinstance(message, UseAsked):
        asked = built.init('useAsked')
        asked.number, asked.account = message.number, message.account
    elif isinstance(message, UseAnswered):
        answered = built.init('useAnswered')
        answered.number = message.number
        answered.outcome = _OUTCOME_NAMES[message.outcome]
        answered.retryInMs, answered.pauseMs = message.retry_in_ms, message.pause_ms
        answered.isSteward = message.is_steward
    elif isinstance(message, LeaseAsked):
        lease = built.init('leaseAsked')
        lease.slot, lease.number = message.slot, message.number
    elif isinstance(message, LeaseAnswered):
        word = built.init('leaseAnswered')
        word.slot, word.number = message.slot, message.number
        word.isGranted, word.freeMs = message.is_granted, message.free_ms
    else:
        raise TypeError(type(message).__name__)


def _read_use_answered(read: Any) -> LimitText:
    answered = read.useAnswered
    outcome = _OUTCOMES[str(answered.outcome)]
    return LimitText(
        UseAnswered(
            answered.number,
            outcome,
            answered.retryInMs,
            answered.pauseMs,
            answered.isSteward,
        )
    )


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message.

    :raises ValueError: when the bytes are none.
    """
    try:
        with _SCHEMA.GatewayMessage.from_bytes(data) as read:
            text = _READERS[str(read.which())](read)
            return PeerMessage(InstanceId(read.sender), ConfigVersion(read.configVersion), text)
    except (
        capnp.KjException,
        KeyError,
        UnicodeDecodeError,
        UnreadableBytesError,
        struct.error,
    ) as error:
        raise ValueError(str(error)) from error


def _pack_loads(loads: list[ServerLoad]) -> bytes:
    return b''.join(
        _LOAD.pack(load.server, min(load.online, COUNT_LIMIT), min(load.batch, COUNT_LIMIT))
        for load in loads
    )


def _unpack_loads(data: bytes) -> list[ServerLoad]:
    return [ServerLoad(*fields) for fields in _LOAD.iter_unpack(data)]


def _pack_suspects(news: list[SuspectNews]) -> bytes:
    return b''.join(
        _SUSPECT.pack(bytes.fromhex(each.content.digest), each.content.target, each.kind)
        for each in news
    )


def _unpack_suspects(data: bytes) -> list[SuspectNews]:
    return [
        SuspectNews(RequestContent(ContentDigest(digest.hex()), target), NewsKind(kind))
        for digest, target, kind in _SUSPECT.iter_unpack(data)
    ]


def _read_loads(places: Any) -> list[ServerLoad]:
    return [ServerLoad(each.server, each.online, each.batch) for each in places]


_READERS: dict[str, Any] = {
    'loadBytes': lambda read: LoadNotice(_unpack_loads(read.loadBytes)),
    'loadTotalsBytes': lambda read: LoadTotals(_unpack_loads(read.loadTotalsBytes)),
    # From instances of an earlier version, during an upgrade.
    'load': lambda read: LoadNotice(_read_loads(read.load)),
    'loadTotals': lambda read: LoadTotals(_read_loads(read.loadTotals)),
    'suspects': lambda read: CrashNews(
        read.suspects.server, _unpack_suspects(read.suspects.requests)
    ),
    'batchNeed': lambda read: BatchNeeds(unpack_needs(bytes(read.batchNeed))),
    'jobChanged': lambda read: JobChanged(JobId(read.jobChanged)),
    'knowledgeAsked': lambda read: KnowledgeWanted(
        read.knowledgeAsked.instancesCount,
        read.knowledgeAsked.listDigest,
        read.knowledgeAsked.takesCompressed,
    ),
    'useAsked': lambda read: LimitText(
        UseAsked(read.useAsked.number, TenantId(read.useAsked.account))
    ),
    'useAnswered': _read_use_answered,
    'leaseAsked': lambda read: LimitText(LeaseAsked(read.leaseAsked.slot, read.leaseAsked.number)),
    'leaseAnswered': lambda read: LimitText(
        LeaseAnswered(
            read.leaseAnswered.slot,
            read.leaseAnswered.number,
            read.leaseAnswered.isGranted,
            read.leaseAnswered.freeMs,
        )
    ),
    'knowledgeWanted': lambda _: KnowledgeWanted(),
    'storeCall': lambda read: StoreCallData(bytes(read.storeCall)),
    'storeAnswer': lambda read: StoreAnswerData(bytes(read.storeAnswer)),
    'knowledge': lambda read: KnowledgeData(bytes(read.knowledge)),
    'listPosition': lambda read: ListTold(decode_msgpack(bytes(read.listPosition), ListPosition)),
    'knowledgeOffered': lambda read: decode_msgpack(bytes(read.knowledgeOffered), ListOffered),
}
