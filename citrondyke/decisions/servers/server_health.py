"""How a backend server stands with the fleet."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId, ServerId

__all__ = ('HealthChange', 'ServerHealth')


class ServerHealth(Enum):
    """Who may be sent to a server."""

    #: Everybody.
    HEALTHY = 'sound'
    #: What may be repeated; what may run once only where no sound server has a place.
    DEGRADED = 'doubted'
    #: Single requests that may be repeated, one instance at a time.
    EJECTED = 'out'


class HealthChange(msgspec.Struct, frozen=True, kw_only=True):
    """A server's standing has changed, and by what."""

    server_id: ServerId
    before: ServerHealth
    after: ServerHealth
    failures: int
    successes: int
    #: Time since the last failure; infinite where none is known.
    failure_age_ms: float
    #: Who saw failures.
    witnesses: list[InstanceId]
    #: How often it went out lately.
    outs_count: int
