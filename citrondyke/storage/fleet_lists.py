"""The platform's lists of instances and backend servers, which may be out of date."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

import msgspec

from citrondyke.ids import AvailabilityZone, InstanceId, ServerId, SoftwareVersion, TargetName
from citrondyke.storage.failure import PlatformFailure

__all__ = ('FleetLists', 'FleetSnapshot', 'ListedInstance', 'ListedServer', 'ListedState')


class ListedState(Enum):
    """State of an entry in the platform's lists."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the list of instances."""

    id: InstanceId
    ip: str
    http_port: int
    peer_port: int
    zone: AvailabilityZone
    state: ListedState = ListedState.LIVE


class ListedServer(msgspec.Struct, frozen=True):
    """An entry of the list of backend servers."""

    id: ServerId
    ip: str
    port: int
    zone: AvailabilityZone
    #: The model it serves, or ``service:<name>`` for a plain service.
    target: TargetName
    state: ListedState = ListedState.LIVE
    #: Whether the server rejects a request with an outdated fencing number.
    checks_fence: bool = False
    #: ``None`` if the platform does not state it; all such servers count as one version.
    software_version: SoftwareVersion | None = None


class FleetSnapshot(msgspec.Struct, frozen=True):
    """Both lists at one moment, possibly an old one."""

    instances: tuple[ListedInstance, ...] = ()
    servers: tuple[ListedServer, ...] = ()


class FleetLists(ABC):
    """A client for the lists."""

    @abstractmethod
    def read(self) -> FleetSnapshot | PlatformFailure:
        """Read both lists."""
