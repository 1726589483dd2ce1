"""What instances tell each other, without any promise that it arrives."""

from __future__ import annotations

from enum import Enum
from typing import TypeAlias

import msgspec

from citrondyke.decisions.configuration.change import ConfigChange
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
)


class MemberState(Enum):
    """What is said of an instance."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


class MemberFact(msgspec.Struct, frozen=True):
    """One instance's state; a higher incarnation goes before a lower one."""

    instance_id: InstanceId
    state: MemberState
    #: Raised by the instance itself when it hears that it is suspected.
    incarnation: int


class Ping(msgspec.Struct, frozen=True):
    """Asks for an ``Ack``."""

    number: int
    facts: tuple[MemberFact, ...] = ()


class Ack(msgspec.Struct, frozen=True):
    """Answers a ``Ping``."""

    number: int
    facts: tuple[MemberFact, ...] = ()


class OnlineNotice(msgspec.Struct, frozen=True):
    """An entry instance's online requests on a server, to the server's steward.

    The number is absolute, so that a lost notice is made good by the next.
    """

    server_id: ServerId
    online_count: int
    #: A gap between two tokens that was seen there since the last notice; 0 for none.
    step_us: int = 0


class ServerState(msgspec.Struct, frozen=True):
    """A steward's answer: all online requests on the server, and what it bears."""

    server_id: ServerId
    online_count: int
    #: Online requests that the server bears within their targets.
    online_limit: int
    #: Up to how many each one more makes the server do more work.
    comfort_limit: int
    is_leaving: bool


class ConfigPush(msgspec.Struct, frozen=True):
    """An accepted change, straight from the instance that accepted it."""

    change: ConfigChange


class JobStopped(msgspec.Struct, frozen=True):
    """A job was cancelled: cut its streams."""

    job_id: JobId


PeerMessage: TypeAlias = Ping | Ack | OnlineNotice | ServerState | ConfigPush | JobStopped
