"""Health of a backend server in the fleet."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId, ServerId

__all__ = ('HealthChange', 'ServerHealth')


class ServerHealth(Enum):
    """Which requests may be sent to a server."""

    #: All requests.
    HEALTHY = 'sound'
    #: Repeatable requests; at-most-once requests only if no healthy server has capacity.
    DEGRADED = 'doubted'
    #: Single repeatable requests, sent by one instance at a time.
    EJECTED = 'out'


class HealthChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change of the health of a server, with the outcomes behind it."""

    server_id: ServerId
    before: ServerHealth
    after: ServerHealth
    failures: int
    successes: int
    #: Time since the last failure; infinite if none is known.
    failure_age_ms: float
    #: Instances that observed failures.
    observers: list[InstanceId]
    #: Number of recent ejections.
    ejections_count: int
