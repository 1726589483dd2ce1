"""Other instances, as an instance knows them."""

from __future__ import annotations

from citrondyke.ids import AvailabilityZone, InstanceId

__all__ = ('other_instances',)


def other_instances(count: int, zone: str = 'zone-a') -> dict[InstanceId, AvailabilityZone]:
    """Name other instances of one availability zone."""
    return {InstanceId(f'{zone}-{n}'): AvailabilityZone(zone) for n in range(count)}
