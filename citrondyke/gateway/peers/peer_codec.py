"""Messages between gateway instances as Cap'n Proto."""

from __future__ import annotations

import os
import struct
from functools import partial
from typing import TYPE_CHECKING, Any

import capnp
import msgspec

from citrondyke.decisions.accounts.limit_messages import LimitMessage
from citrondyke.decisions.batch.batch_demand import DemandNotice
from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint
from citrondyke.decisions.crashes.suspect_update_queue import SuspectNews, SuspectUpdateKind
from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.decisions.servers.server_evidence import ServerEvidence
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.demand_codec import pack_demand, unpack_demand
from citrondyke.gateway.peers.evidence_codec import pack_evidence, unpack_evidence
from citrondyke.gateway.peers.limit_codec import LIMIT_READERS, build_limit
from citrondyke.ids import ConfigVersion, ContentDigest, InstanceId, JobId
from citrondyke.util.decoding import decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    'BatchNeeds',
    'CrashNews',
    'EvidenceNews',
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

    needs: list[DemandNotice]


class JobChanged(PeerText, frozen=True):
    """A job's head changed."""

    job_id: JobId


class EvidenceNews(PeerText, frozen=True):
    """How requests of the sender ended at servers."""

    rows: list[ServerEvidence]


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

    position: ServerListCursor


class ListOffered(PeerText, frozen=True):
    """Rows of that list, encoded, and how far the reader is."""

    data: bytes
    position: ServerListCursor


class PeerMessage(msgspec.Struct, frozen=True):
    """A message and its sender."""

    sender: InstanceId
    config_version: ConfigVersion
    text: PeerText


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    built = _SCHEMA.GatewayMessage.new_message()
    built.sender = message.sender
    built.configVersion = message.config_version
    write = _WRITERS.get(type(message.text))
    if write is None:
        # Each kind has its field; a new one without would ask peers for something else.
        raise TypeError(type(message.text).__name__)
    write(built, message.text)
    # Not packed: the library's packed writer ended processes by a segmentation fault on messages
    # of over 8 KB whose packed form is longer than the plain one, as of compressed values.
    data: bytes = built.to_bytes()
    return data


def _write_suspects(built: Any, text: CrashNews) -> None:
    told = built.init('suspects')
    told.server = text.server
    told.requests = _pack_suspects(text.news)


def _write_wanted(built: Any, text: KnowledgeWanted) -> None:
    wanted = built.init('knowledgeAsked')
    wanted.instancesCount, wanted.listDigest = text.instances_count, text.list_digest
    wanted.takesCompressed = text.takes_compressed


def _field(name: str, encode: Callable[[Any], Any]) -> Callable[[Any, Any], None]:
    """Make what writes a kind of message that is one field."""

    def write(built: Any, text: Any) -> None:
        setattr(built, name, encode(text))

    return write


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
        msgspec.MsgspecError,
    ) as error:
        raise ValueError(str(error)) from error


def _read_limit(reader: Callable[[Any], LimitMessage], read: Any) -> LimitText:
    return LimitText(reader(read))


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
        SuspectNews(
            RequestFingerprint(ContentDigest(digest.hex()), target), SuspectUpdateKind(kind)
        )
        for digest, target, kind in _SUSPECT.iter_unpack(data)
    ]


def _read_loads(places: Any) -> list[ServerLoad]:
    return [ServerLoad(each.server, each.online, each.batch) for each in places]


_WRITERS: dict[type[PeerText], Callable[[Any, Any], None]] = {
    LoadNotice: _field('loadBytes', lambda text: _pack_loads(text.loads)),
    LoadTotals: _field('loadTotalsBytes', lambda text: _pack_loads(text.loads)),
    CrashNews: _write_suspects,
    EvidenceNews: _field('serverEvidence', lambda text: pack_evidence(text.rows)),
    BatchNeeds: _field('batchNeed', lambda text: pack_demand(text.needs)),
    JobChanged: _field('jobChanged', lambda text: text.job_id),
    KnowledgeWanted: _write_wanted,
    KnowledgeData: _field('knowledge', lambda text: text.data),
    StoreCallData: _field('storeCall', lambda text: text.data),
    StoreAnswerData: _field('storeAnswer', lambda text: text.data),
    ListTold: _field('listPosition', lambda text: msgspec.msgpack.encode(text.position)),
    ListOffered: _field('knowledgeOffered', msgspec.msgpack.encode),
    LimitText: lambda built, text: build_limit(built, text.message),
}
_READERS: dict[str, Any] = {
    'loadBytes': lambda read: LoadNotice(_unpack_loads(read.loadBytes)),
    'loadTotalsBytes': lambda read: LoadTotals(_unpack_loads(read.loadTotalsBytes)),
    # From instances of an earlier version, during an upgrade.
    'load': lambda read: LoadNotice(_read_loads(read.load)),
    'loadTotals': lambda read: LoadTotals(_read_loads(read.loadTotals)),
    'suspects': lambda read: CrashNews(
        read.suspects.server, _unpack_suspects(read.suspects.requests)
    ),
    'batchNeed': lambda read: BatchNeeds(unpack_demand(bytes(read.batchNeed))),
    'serverEvidence': lambda read: EvidenceNews(unpack_evidence(read.serverEvidence)),
    'jobChanged': lambda read: JobChanged(JobId(read.jobChanged)),
    'knowledgeAsked': lambda read: KnowledgeWanted(
        read.knowledgeAsked.instancesCount,
        read.knowledgeAsked.listDigest,
        read.knowledgeAsked.takesCompressed,
    ),
    **{kind: partial(_read_limit, reader) for kind, reader in LIMIT_READERS.items()},
    'knowledgeWanted': lambda _: KnowledgeWanted(),
    'storeCall': lambda read: StoreCallData(bytes(read.storeCall)),
    'storeAnswer': lambda read: StoreAnswerData(bytes(read.storeAnswer)),
    'knowledge': lambda read: KnowledgeData(bytes(read.knowledge)),
    'listPosition': lambda read: ListTold(
        decode_msgpack(bytes(read.listPosition), ServerListCursor)
    ),
    'knowledgeOffered': lambda read: decode_msgpack(bytes(read.knowledgeOffered), ListOffered),
}
