"""Operations that a workflow can request from its driver.

A workflow is a generator: it yields an operation and is resumed with its result. Failures are
returned as sentinel values with a reason, never raised as exceptions.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Annotated, Any, TypeAlias, TypeVar, cast

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
    """An operation that a driver carries out."""


Workflow: TypeAlias = Generator[Op, Any, T]


class Transact(Op, frozen=True):
    """Try one transaction once; results in ``Committed | Conflict | PlatformFailure``."""

    transaction: Transaction


class ReadRows(Op, frozen=True):
    """Read rows; results in ``dict[RowKey, Row] | PlatformFailure``."""

    keys: tuple[RowKey, ...]


class ScanRows(Op, frozen=True):
    """Read rows in key order; results in ``list[Row] | PlatformFailure``."""

    prefix: str
    after: str
    limit: int


class PutObject(Op, frozen=True):
    """Store an object; results in ``None | PlatformFailure``."""

    key: ObjectKey
    body: bytes


class GetObject(Op, frozen=True):
    """Fetch an object; results in ``bytes | PlatformFailure``."""

    key: ObjectKey


class ListObjects(Op, frozen=True):
    """List the keys below a prefix; results in ``list[ObjectKey] | PlatformFailure``."""

    prefix: str


class ReadLists(Op, frozen=True):
    """Read the platform's lists; results in ``FleetSnapshot | PlatformFailure``."""


class Sleep(Op, frozen=True):
    """Resume at a monotonic time, in milliseconds."""

    until_ms: float


class Wait(Op, frozen=True):
    """Resume when the signal fires or at a monotonic time; results in whether it fired."""

    signal: Signal[Any]
    until_ms: float | None


class Spawn(Op, frozen=True):
    """Run another workflow concurrently."""

    workflow: Workflow[Any]
    #: Whether the instance cannot work without it: if it fails, the instance terminates.
    is_essential: bool = False


class CallServer(Op, frozen=True):
    """Send one request to one backend server; results in ``ServerReply``."""

    call: ServerCall


#: More requests than any server has at once.
RequestsCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class ServerLoad(msgspec.Struct, frozen=True):
    """Load as reported by a backend server, with a delay."""

    running: RequestsCount
    waiting: RequestsCount
    max_running: RequestsCount
    is_leaving: bool = False


class PollLoad(Op, frozen=True):
    """Request the load of a backend server; results in ``ServerLoad | None``."""

    server_id: ServerId
    until_ms: float


class SendPeer(Op, frozen=True):
    """Send a message to another instance, without a delivery guarantee."""

    instance_id: InstanceId
    message: msgspec.Struct


class PullConfig(Op, frozen=True):
    """Request the changes after a version from a peer; results in ``list[ConfigChange]``."""

    instance_id: InstanceId
    after_version: ConfigVersion


def read_rows(*keys: RowKey) -> Workflow[dict[RowKey, Row] | PlatformFailure]:
    """Read rows; missing ones are omitted."""
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
    """Try one transaction once."""
    result = yield Transact(transaction)
    return cast('Committed | Conflict | PlatformFailure', result)


def sleep_until(until_ms: float) -> Workflow[None]:
    """Pause until a monotonic time."""
    yield Sleep(until_ms)


def wait_for(signal: Signal[Any], until_ms: float | None) -> Workflow[bool]:
    """Wait for a signal until a monotonic time; return whether it fired."""
    fired = yield Wait(signal, until_ms)
    return cast('bool', fired)


def call_server(call: ServerCall) -> Workflow[ServerReply]:
    """Send one request to one backend server."""
    reply = yield CallServer(call)
    return cast('ServerReply', reply)


def pull_config(
    instance_id: InstanceId, after_version: ConfigVersion
) -> Workflow[list[ConfigChange]]:
    """Request the configuration changes after a version from a peer; empty on failure."""
    result = yield PullConfig(instance_id, after_version)
    return cast('list[ConfigChange]', result)


def poll_load(server_id: ServerId, until_ms: float) -> Workflow[ServerLoad | None]:
    """Request the load of a backend server; ``None`` on failure."""
    result = yield PollLoad(server_id, until_ms)
    return cast('ServerLoad | None', result)
