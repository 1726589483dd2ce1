"""Messages between instances, sent without a delivery guarantee."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.ids import InstanceId, JobId, ServerId

__all__ = (
    'Ack',
    'ConfigPush',
    'JobStopped',
    'MemberFact',
    'MemberState',
    'OnlineNotice',
    'PeerMessage',
    'Ping',
    'ServerState',
    'SuspectNotice',
)


class MemberState(Enum):
    """State of an instance as gossiped between peers."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


class MemberFact(msgspec.Struct, frozen=True):
    """One instance's state; a higher incarnation overrides a lower one."""

    instance_id: InstanceId
    state: MemberState
    #: Incremented by the instance itself when it learns that it is suspected.
    incarnation: int


class Ping(msgspec.Struct, frozen=True):
    """Requests an ``Ack``."""

    number: int
    facts: tuple[MemberFact, ...] = ()


class Ack(msgspec.Struct, frozen=True):
    """Answers a ``Ping``."""

    number: int
    facts: tuple[MemberFact, ...] = ()


class OnlineNotice(msgspec.Struct, frozen=True):
    """An entry instance's online load on a server, sent to the server's steward.

    The count is absolute, so that the next notice makes up for a lost one.
    """

    server_id: ServerId
    online_count: int
    #: Shortest gap between two tokens of one response since the last notice; 0 for none.
    step_us: int = 0


class ServerState(msgspec.Struct, frozen=True):
    """A steward's reply: all online requests on a server, and the server's limits."""

    server_id: ServerId
    online_count: int
    #: Online requests within which the tightest target is met.
    online_limit: int
    #: Online requests up to which throughput still grows.
    comfort_limit: int
    is_leaving: bool


class ConfigPush(msgspec.Struct, frozen=True):
    """An accepted change, pushed by the instance that accepted it."""

    change: ConfigChange


class JobStopped(msgspec.Struct, frozen=True):
    """A job was cancelled: abort its streams."""

    job_id: JobId


class SuspectNotice(msgspec.Struct, frozen=True):
    """Evidence that a request or a prompt part crashes engines."""

    row: SuspectRow


PeerMessage: TypeAlias = (
    Ping | Ack | OnlineNotice | ServerState | ConfigPush | JobStopped | SuspectNotice
)
