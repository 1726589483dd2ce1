"""What a workflow can ask of the world.

A workflow is a generator: it yields an operation and is resumed with its result. Failures come
back as sentinel values with a reason, never as exceptions.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, TypeAlias, TypeVar, cast

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.core.server_call import ServerCall, ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import ConfigVersion, InstanceId, ObjectKey, RowKey, ServerId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.fleet_lists import FleetSnapshot
from citrondyke.storage.table_service import Committed, Conflict, Row, Transaction

__all__ = (
    'CallServer',
    'GetObject',
    'ListObjects',
    'Op',
    'PollLoad',
    'PullConfig',
    'PutObject',
    'ReadLists',
    'ReadRows',
    'ScanRows',
    'SendPeer',
    'ServerLoad',
    'Sleep',
    'Spawn',
    'Transact',
    'Wait',
    'Workflow',
    'call_server',
    'get_object',
    'list_objects',
    'poll_load',
    'pull_config',
    'put_object',
    'read_lists',
    'read_rows',
    'scan_rows',
    'sleep_until',
    'transact_once',
    'wait_for',
)

T = TypeVar('T')


class Op(msgspec.Struct, frozen=True):
    """Something that only a driver can do."""


Workflow: TypeAlias = Generator[Op, Any, T]


class Transact(Op, frozen=True):
    """Try one transaction, once; gives ``Committed | Conflict | PlatformFailure``."""

    transaction: Transaction


class ReadRows(Op, frozen=True):
    """Read rows; gives ``dict[RowKey, Row] | PlatformFailure``."""

    keys: tuple[RowKey, ...]


class ScanRows(Op, frozen=True):
    """Read rows in order; gives ``list[Row] | PlatformFailure``."""

    prefix: str
    after: str
    limit: int


class PutObject(Op, frozen=True):
    """Store an object; gives ``None | PlatformFailure``."""

    key: ObjectKey
    body: bytes


class GetObject(Op, frozen=True):
    """Fetch an object; gives ``bytes | PlatformFailure``."""

    key: ObjectKey


class ListObjects(Op, frozen=True):
    """List the keys below a prefix; gives ``list[ObjectKey] | PlatformFailure``."""

    prefix: str


class ReadLists(Op, frozen=True):
    """Read the platform's lists; gives ``FleetSnapshot | PlatformFailure``."""


class Sleep(Op, frozen=True):
    """Resume at a monotonic time, in milliseconds."""

    until_ms: float


class Wait(Op, frozen=True):
    """Resume when the signal fires or at a monotonic time; gives whether it fired."""

    signal: Signal[Any]
    until_ms: float | None


class Spawn(Op, frozen=True):
    """Run another workflow beside this one."""

    workflow: Workflow[Any]
    #: Whether the instance is of no use without it: if it fails, the whole instance ends.
    is_essential: bool = False


class CallServer(Op, frozen=True):
    """Send one request to one backend server; gives ``ServerReply``."""

    call: ServerCall


class ServerLoad(msgspec.Struct, frozen=True):
    """What a backend server says of itself, with a lag."""

    running: int
    waiting: int
    max_running: int
    is_leaving: bool = False


class PollLoad(Op, frozen=True):
    """Ask a backend server for its load; gives ``ServerLoad | None``."""

    server_id: ServerId
    until_ms: float


class SendPeer(Op, frozen=True):
    """Send a message to another instance, with no promise that it arrives."""

    instance_id: InstanceId
    message: msgspec.Struct


class PullConfig(Op, frozen=True):
    """Ask a peer for changes behind a version; gives ``list[ConfigChange]``."""

    instance_id: InstanceId
    after_version: ConfigVersion


def read_rows(*keys: RowKey) -> Workflow[dict[RowKey, Row] | PlatformFailure]:
    """Read rows; missing ones are left out."""
    result = yield ReadRows(keys)
    return cast('dict[RowKey, Row] | PlatformFailure', result)


def scan_rows(prefix: str, after: str, limit: int) -> Workflow[list[Row] | PlatformFailure]:
    """Read rows in key order."""
    result = yield ScanRows(prefix, after, limit)
    return cast('list[Row] | PlatformFailure', result)


def put_object(key: ObjectKey, body: bytes) -> Workflow[PlatformFailure | None]:
    """Store an object."""
    result = yield PutObject(key, body)
    return cast('PlatformFailure | None', result)


def get_object(key: ObjectKey) -> Workflow[bytes | PlatformFailure]:
    """Fetch an object."""
    result = yield GetObject(key)
    return cast('bytes | PlatformFailure', result)


def list_objects(prefix: str) -> Workflow[list[ObjectKey] | PlatformFailure]:
    """List the keys below a prefix, in order."""
    result = yield ListObjects(prefix)
    return cast('list[ObjectKey] | PlatformFailure', result)


def read_lists() -> Workflow[FleetSnapshot | PlatformFailure]:
    """Read the platform's lists."""
    result = yield ReadLists()
    return cast('FleetSnapshot | PlatformFailure', result)


def transact_once(transaction: Transaction) -> Workflow[Committed | Conflict | PlatformFailure]:
    """Try one transaction, once."""
    result = yield Transact(transaction)
    return cast('Committed | Conflict | PlatformFailure', result)


def sleep_until(until_ms: float) -> Workflow[None]:
    """Pause."""
    yield Sleep(until_ms)


def wait_for(signal: Signal[Any], until_ms: float | None) -> Workflow[bool]:
    """Pause until the signal fires; tell whether it did."""
    fired = yield Wait(signal, until_ms)
    return cast('bool', fired)


def call_server(call: ServerCall) -> Workflow[ServerReply]:
    """Send one request to one backend server."""
    reply = yield CallServer(call)
    return cast('ServerReply', reply)


def pull_config(
    instance_id: InstanceId, after_version: ConfigVersion
) -> Workflow[list[ConfigChange]]:
    """Ask a peer for the configuration changes behind a version; empty where it fails."""
    result = yield PullConfig(instance_id, after_version)
    return cast('list[ConfigChange]', result)


def poll_load(server_id: ServerId, until_ms: float) -> Workflow[ServerLoad | None]:
    """Ask a backend server for its load."""
    result = yield PollLoad(server_id, until_ms)
    return cast('ServerLoad | None', result)
