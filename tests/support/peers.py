"""Other instances and backend servers, as an instance knows them."""

from __future__ import annotations

from citrondyke.decisions.forwarding.listed_backend import ListedBackend
from citrondyke.ids import AvailabilityZone, InstanceId, ServerId, ServiceName

__all__ = ('listed_server', 'other_instances')


def other_instances(count: int, zone: str = 'zone-a') -> dict[InstanceId, AvailabilityZone]:
    """Name other instances of one availability zone."""
    return {InstanceId(f'{zone}-{n}'): AvailabilityZone(zone) for n in range(count)}


def listed_server(
    name: str, service: str, slots_count: int = 8, zone: str = 'zone-a'
) -> ListedBackend:
    """Make an entry of the list of servers."""
    return ListedBackend(
        id=ServerId(name),
        service=ServiceName(service),
        ip='',
        port=1,
        zone=AvailabilityZone(zone),
        slots_count=slots_count,
    )
