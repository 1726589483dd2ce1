"""The platform's lagging lists of instances and backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citrondyke.ids import AvailabilityZone, InstanceId, ServerId, TargetName
from citrondyke.storage.failure import PlatformFailure

__all__ = ('FleetLists', 'FleetSnapshot', 'ListedInstance', 'ListedServer', 'ListedState')


class ListedState(Enum):
    """What the platform says of an entry."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance of ours as listed."""

    id: InstanceId
    ip: str
    http_port: int
    peer_port: int
    zone: AvailabilityZone
    state: ListedState = ListedState.LIVE


class ListedServer(msgspec.Struct, frozen=True):
    """A backend server as listed."""

    id: ServerId
    ip: str
    port: int
    zone: AvailabilityZone
    #: The model it serves, or ``service:<name>`` for a plain service.
    target: TargetName
    state: ListedState = ListedState.LIVE
    #: Whether it refuses an order with an old fencing number.
    checks_fence: bool = False


class FleetSnapshot(msgspec.Struct, frozen=True):
    """Both lists at one moment, perhaps an old one."""

    instances: tuple[ListedInstance, ...] = ()
    servers: tuple[ListedServer, ...] = ()


class FleetLists(ABC):
    """A client of the lists."""

    @abstractmethod
    def read(self) -> FleetSnapshot | PlatformFailure:
        """Read both lists."""
