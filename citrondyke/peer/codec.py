"""Encoding and authentication of the messages between instances."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import capnp
import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.membership.peer_messages import (
    Ack,
    ConfigPush,
    JobStopped,
    MemberFact,
    MemberState,
    OnlineNotice,
    Ping,
    ServerState,
    SuspectNotice,
)
from citrondyke.errors import PeerAuthenticationError
from citrondyke.ids import ConfigVersion, InstanceId, JobId, ServerId

__all__ = ('ConfigChanges', 'ConfigPull', 'Envelope', 'PeerCodec')

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(Path(__file__).with_name('messages.capnp')))

TAG_BYTES = 8


class ConfigPull(msgspec.Struct, frozen=True):
    """Request to a peer, over a stream, for the configuration changes after a version."""

    after_version: ConfigVersion


class ConfigChanges(msgspec.Struct, frozen=True):
    """Response to a ``ConfigPull``."""

    changes: tuple[ConfigChange, ...]


class Envelope(msgspec.Struct, frozen=True):
    """A message with its header."""

    sender: InstanceId
    epoch: int
    number: int
    config_version: ConfigVersion
    message: msgspec.Struct


class PeerCodec:
    """Encodes messages with a keyed hash, and decodes only data with a valid one.

    The first key signs, and all keys are accepted, so that keys can be rotated.
    """

    def __init__(self, keys: Iterable[bytes]) -> None:
        """Store the keys, which all instances share."""
        self._keys = tuple(keys)

    def encode(self, envelope: Envelope) -> bytes:
        """Encode and sign a message."""
        built = _SCHEMA.Envelope.new_message()
        built.sender = envelope.sender
        built.epoch = envelope.epoch
        built.number = envelope.number
        built.configVersion = envelope.config_version
        _WRITERS[type(envelope.message)](built, envelope.message)
        body: bytes = built.to_bytes()
        return _tag(self._keys[0], body) + body

    def decode(self, data: bytes) -> Envelope:
        """Verify and decode a message.

        :raises PeerAuthenticationError: if the hash is wrong or the data is malformed.
        """
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(key, body)) for key in self._keys):
            raise PeerAuthenticationError
        try:
            with _SCHEMA.Envelope.from_bytes(body) as read:
                return Envelope(
                    InstanceId(read.sender),
                    read.epoch,
                    read.number,
                    ConfigVersion(read.configVersion),
                    _READERS[str(read.which())](read),
                )
        except (capnp.KjException, msgspec.DecodeError, KeyError, ValueError) as error:
            raise PeerAuthenticationError(str(error)) from error


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


def _write_facts(probe: Any, facts: tuple[MemberFact, ...]) -> None:
    built = probe.init('facts', len(facts))
    for entry, fact in zip(built, facts, strict=True):
        entry.instanceId = fact.instance_id
        entry.state = fact.state.value
        entry.incarnation = fact.incarnation


def _write_ping(built: Any, message: Ping) -> None:
    probe = built.init('ping')
    probe.number = message.number
    _write_facts(probe, message.facts)


def _write_ack(built: Any, message: Ack) -> None:
    probe = built.init('ack')
    probe.number = message.number
    _write_facts(probe, message.facts)


def _write_notice(built: Any, message: OnlineNotice) -> None:
    notice = built.init('onlineNotice')
    notice.serverId = message.server_id
    notice.onlineCount = message.online_count
    notice.stepUs = message.step_us


def _write_state(built: Any, message: ServerState) -> None:
    state = built.init('serverState')
    state.serverId = message.server_id
    state.onlineCount = message.online_count
    state.onlineLimit = message.online_limit
    state.comfortLimit = message.comfort_limit
    state.isLeaving = message.is_leaving


def _write_push(built: Any, message: ConfigPush) -> None:
    built.configPush = msgspec.json.encode(message.change)


def _write_stopped(built: Any, message: JobStopped) -> None:
    built.jobStopped = message.job_id


def _write_suspect(built: Any, message: SuspectNotice) -> None:
    built.suspectNotice = msgspec.msgpack.encode(message.row)


def _write_pull(built: Any, message: ConfigPull) -> None:
    built.configPull = message.after_version


def _write_changes(built: Any, message: ConfigChanges) -> None:
    changes = built.init('configChanges', len(message.changes))
    for index, change in enumerate(message.changes):
        changes[index] = msgspec.json.encode(change)


def _read_facts(probe: Any) -> tuple[MemberFact, ...]:
    return tuple(
        MemberFact(InstanceId(fact.instanceId), MemberState(str(fact.state)), fact.incarnation)
        for fact in probe.facts
    )


def _read_change(data: bytes) -> ConfigChange:
    return msgspec.json.decode(data, type=ConfigChange)


_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    Ping: _write_ping,
    Ack: _write_ack,
    OnlineNotice: _write_notice,
    ServerState: _write_state,
    ConfigPush: _write_push,
    JobStopped: _write_stopped,
    SuspectNotice: _write_suspect,
    ConfigPull: _write_pull,
    ConfigChanges: _write_changes,
}

_READERS: dict[str, Callable[[Any], msgspec.Struct]] = {
    'ping': lambda read: Ping(read.ping.number, _read_facts(read.ping)),
    'ack': lambda read: Ack(read.ack.number, _read_facts(read.ack)),
    'onlineNotice': lambda read: OnlineNotice(
        ServerId(read.onlineNotice.serverId),
        read.onlineNotice.onlineCount,
        read.onlineNotice.stepUs,
    ),
    'serverState': lambda read: ServerState(
        ServerId(read.serverState.serverId),
        read.serverState.onlineCount,
        read.serverState.onlineLimit,
        read.serverState.comfortLimit,
        read.serverState.isLeaving,
    ),
    'configPush': lambda read: ConfigPush(_read_change(read.configPush)),
    'jobStopped': lambda read: JobStopped(JobId(read.jobStopped)),
    'suspectNotice': lambda read: SuspectNotice(
        msgspec.msgpack.decode(bytes(read.suspectNotice), type=SuspectRow)
    ),
    'configPull': lambda read: ConfigPull(ConfigVersion(read.configPull)),
    'configChanges': lambda read: ConfigChanges(
        tuple(_read_change(change) for change in read.configChanges)
    ),
}
