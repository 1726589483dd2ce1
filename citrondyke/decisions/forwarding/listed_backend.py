"""A backend server as the list of servers tells of it."""

from __future__ import annotations

import msgspec

from citrondyke.ids import AvailabilityZone, ServerId, ServiceName

__all__ = ('ListedBackend',)


class ListedBackend(msgspec.Struct, frozen=True, kw_only=True):
    """One start of one backend server."""

    #: Names this start; a restarted server has another id.
    id: ServerId
    service: ServiceName
    ip: str
    port: int
    zone: AvailabilityZone
    #: Requests that it runs at once.
    slots_count: int
    is_leaving: bool = False
