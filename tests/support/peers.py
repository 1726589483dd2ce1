"""Other instances and backend servers, as an instance knows them."""

from __future__ import annotations

from typing import Any

from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
from citrondyke.ids import AvailabilityZone, InstanceId, ServerId, ServiceName

__all__ = ('listed_server', 'other_instances', 'server_row')


def other_instances(count: int, zone: str = 'zone-a') -> dict[InstanceId, AvailabilityZone]:
    """Name other instances of one availability zone."""
    return {InstanceId(f'{zone}-{n}'): AvailabilityZone(zone) for n in range(count)}


def server_row(**changed: Any) -> dict[str, Any]:
    """A server's entry as it writes it."""
    return {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 4,
        **changed,
    }


def listed_server(
    name: str, service: str, slots_count: int = 8, zone: str = 'zone-a', **more: Any
) -> ServerListEntry:
    """Make an entry of the list of servers."""
    return ServerListEntry(
        id=ServerId(name),
        service=ServiceName(service),
        ip='',
        port=1,
        zone=AvailabilityZone(zone),
        slots_count=slots_count,
        **more,
    )
