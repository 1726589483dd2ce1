"""Messages between gateway instances, encoded with Cap'n Proto."""

from __future__ import annotations

import os
import struct
from functools import partial
from typing import TYPE_CHECKING, Any

import capnp
import msgspec

from citrondyke.decisions.accounts.limit_messages import LimitMessage
from citrondyke.decisions.batch.batch_demand import DemandNotice
from citrondyke.decisions.crashes.suspect_key import SuspectKey
from citrondyke.decisions.crashes.suspect_update_queue import SuspectNews, SuspectUpdateKind
from citrondyke.decisions.forwarding.load_notices import ServerLoad
from citrondyke.decisions.server_list.server_list_cursor import ServerListCursor
from citrondyke.decisions.servers.server_evidence import ServerEvidence
from citrondyke.decisions.streams.origin_records import OriginRecord, StreamKey
from citrondyke.decisions.streams.stream_origin import OriginView, StreamOrigin
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.peers.demand_codec import pack_demand, unpack_demand
from citrondyke.gateway.peers.evidence_codec import pack_evidence, unpack_evidence
from citrondyke.gateway.peers.limit_codec import LIMIT_READERS, build_limit
from citrondyke.ids import ConfigVersion, ContentDigest, InstanceId, JobId, ServiceName
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
    'OriginAsked',
    'OriginTold',
    'PeerMessage',
    'PeerText',
    'StoreAnswerData',
    'StoreCallData',
    'StreamOrigins',
    'decode_message',
    'encode_message',
)

_PACKAGE_DIR = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
_SCHEMA = capnp.load(os.path.join(_PACKAGE_DIR, 'peer', 'gateway.capnp'))
#: Counts are 16 bits wide on the wire; a server runs tens of requests at once.
COUNT_LIMIT = 65_535
#: A server's digest and its counts of online and batch requests.
_LOAD = struct.Struct('<IHH')
#: A key's digest, its target, and the kind of the update.
_SUSPECT = struct.Struct('<10sIB')


class PeerText(msgspec.Struct, frozen=True):
    """Content of a message; a subclass for each kind."""


class LoadNotice(PeerText, frozen=True):
    """Numbers of the sender's requests on servers."""

    loads: list[ServerLoad]


class LoadTotals(PeerText, frozen=True):
    """Numbers of all instances' requests on the servers of the sender's availability zone."""

    loads: list[ServerLoad]


class CrashNews(PeerText, frozen=True):
    """Keys of requests that were running on a server when it exited, or that ran to their end."""

    #: Digest of the server's incarnation; 0 if none has exited.
    server: int
    news: list[SuspectNews]


class BatchNeeds(PeerText, frozen=True):
    """Batch items that wait for capacity at the sender; an empty list if there are none."""

    needs: list[DemandNotice]


class JobChanged(PeerText, frozen=True):
    """Notification that a job's head has changed."""

    job_id: JobId


class EvidenceNews(PeerText, frozen=True):
    """Outcomes of the sender's requests on servers."""

    rows: list[ServerEvidence]


class KnowledgeWanted(PeerText, frozen=True):
    """Requests the store state that the sender lacks.

    The header of the message has the version of the sender's configuration.
    """

    #: Number of instances whose address the sender has, including itself.
    instances_count: int = 0
    #: Digest of the sender's server list; 0 for none.
    list_digest: int = 0
    #: Whether the answer may be compressed; instances of an earlier version cannot decompress it.
    takes_compressed: bool = False


class KnowledgeData(PeerText, frozen=True):
    """Encoded store state of an instance."""

    data: bytes


class StoreCallData(PeerText, frozen=True):
    """Encoded call of the store that the receiver makes for the sender."""

    data: bytes


class StoreAnswerData(PeerText, frozen=True):
    """Encoded answer of the store to a relayed call."""

    data: bytes


class LimitText(PeerText, frozen=True):
    """Message about the uses of accounts."""

    message: LimitMessage


class ListTold(PeerText, frozen=True):
    """A reader's cursor in the server list.

    Over a stream it is a request: a follower's cursor in the changes of the receiving reader.
    """

    position: ServerListCursor


class ListOffered(PeerText, frozen=True):
    """Encoded update of the server list, and the reader's cursor."""

    data: bytes
    position: ServerListCursor


class StreamOrigins(PeerText, frozen=True):
    """Origins of streams that callers of the sender have received events of."""

    records: list[OriginRecord]


class OriginAsked(PeerText, frozen=True):
    """Asks for the origin of a stream that a caller resumes."""

    #: Key of the stream.
    key: StreamKey
    #: Services that its route has had.
    services: list[ServiceName]


class OriginTold(PeerText, frozen=True):
    """What an instance knows of the origin of a stream."""

    #: Recorded origin; ``None`` if there is no record.
    origin: StreamOrigin | None
    left_ms: float
    view: OriginView


class PeerMessage(msgspec.Struct, frozen=True):
    """A message with its header."""

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
        # Without a field set, peers would decode the message as another kind.
        raise TypeError(type(message.text).__name__)
    write(built, message.text)
    # Not packed: the library's packed writer crashes with a segmentation fault on messages of over
    # 8 KB whose packed form is longer than the plain one, as with compressed values.
    data: bytes = built.to_bytes()
    return data


def _write_suspects(built: Any, text: CrashNews) -> None:
    suspects = built.init('suspects')
    suspects.server = text.server
    suspects.requests = _pack_suspects(text.news)


def _write_wanted(built: Any, text: KnowledgeWanted) -> None:
    request = built.init('knowledgeAsked')
    request.instancesCount, request.listDigest = text.instances_count, text.list_digest
    request.takesCompressed = text.takes_compressed


def _field(name: str, encode: Callable[[Any], Any]) -> Callable[[Any, Any], None]:
    """Return a writer for a kind of message that consists of one field."""

    def write(built: Any, text: Any) -> None:
        setattr(built, name, encode(text))

    return write


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message.

    :raises UnreadableBytesError: if the data is not a valid message.
    """
    try:
        with _SCHEMA.GatewayMessage.from_bytes(data) as read:
            text = _READERS[str(read.which())](read)
            return PeerMessage(InstanceId(read.sender), ConfigVersion(read.configVersion), text)
    except (
        capnp.KjException,
        KeyError,
        ValueError,
        struct.error,
        msgspec.MsgspecError,
    ) as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error


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
        _SUSPECT.pack(bytes.fromhex(each.key.digest), each.key.target, each.kind) for each in news
    )


def _unpack_suspects(data: bytes) -> list[SuspectNews]:
    return [
        SuspectNews(SuspectKey(ContentDigest(digest.hex()), target), SuspectUpdateKind(kind))
        for digest, target, kind in _SUSPECT.iter_unpack(data)
    ]


def _read_loads(loads: Any) -> list[ServerLoad]:
    return [ServerLoad(each.server, each.online, each.batch) for each in loads]


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
    StreamOrigins: _field('streamOrigins', msgspec.msgpack.encode),
    OriginAsked: _field('originAsked', msgspec.msgpack.encode),
    OriginTold: _field('originTold', msgspec.msgpack.encode),
    LimitText: lambda built, text: build_limit(built, text.message),
}
_READERS: dict[str, Any] = {
    'loadBytes': lambda read: LoadNotice(_unpack_loads(read.loadBytes)),
    'loadTotalsBytes': lambda read: LoadTotals(_unpack_loads(read.loadTotalsBytes)),
    # Sent by instances of an earlier version during an upgrade.
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
    'streamOrigins': lambda read: decode_msgpack(bytes(read.streamOrigins), StreamOrigins),
    'originAsked': lambda read: decode_msgpack(bytes(read.originAsked), OriginAsked),
    'originTold': lambda read: decode_msgpack(bytes(read.originTold), OriginTold),
}
