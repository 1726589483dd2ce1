"""Which instances tell each other of every request, and how often all of them call the store."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import AvailabilityZone, InstanceId

__all__ = ('PeerTopology',)

#: Fleets up to this tell all of all, so that each request finds the free place wherever it is.
#: Beyond it only an availability zone does: hearing of each start and end of everybody's requests
#: would take an instance more processor time than its own callers do.
MESH_LIMIT = 24
#: Datagrams that an instance sends to its neighbours in a second at most: with n of them a change
#: waits n ms at the longest, 12 ms at 13 instances.
DATAGRAMS_PER_S = 1_000.0
#: In a large fleet an instance hears 80 notices a second and places one or two requests: woken up
#: by each it took 20 ms of processor time a second for them, 4 with this (one instance, stand-ins).
#: The tenth of a second is what its peers' news of crashes and jobs may wait.
COALESCE_MS = 100.0
#: ... and where batch items must make room: an online request waits for them so long at the most,
#: a tenth of the time within which its first event is expected.
OWNER_COALESCE_MS = 30.0
#: Instances that collect what is seen of one thing: half of all may be lost at once, and then one
#: of three is left seven times in eight.
REGISTRARS_COUNT = 3
#: Fleets beyond this call the store more rarely, in proportion, so that heartbeats and the reads
#: of them, whose size grows with the fleet too, stay within its rates; at most three times.
STORE_PACING_THRESHOLD = 45
MAX_STORE_INTERVAL_FACTOR = 3.0


class PeerTopology:
    """The other instances by availability zone.

    Counts of requests must be tens of ms old at the most where requests are placed by them, or
    all instances choose the server that looked free last. In a large fleet that is kept up for
    the servers of an instance's own zone, by the instances of that zone and by all who use them;
    what is on the others is heard of as a sum, twice a second.
    """

    def __init__(self, context: Context) -> None:
        """Start alone."""
        self._context = context
        self._by_zone: dict[AvailabilityZone, list[InstanceId]] = {}
        self._zones: dict[InstanceId, AvailabilityZone] = {}

    def replace(self, zones: Mapping[InstanceId, AvailabilityZone]) -> None:
        """Take in the other instances that there are."""
        if zones == self._zones:
            return
        self._zones = dict(zones)
        self._by_zone = {}
        for instance_id, zone in zones.items():
            self._by_zone.setdefault(zone, []).append(instance_id)
        for instances in self._by_zone.values():
            instances.sort()

    @property
    def instances_count(self) -> int:
        """Count all instances, this one included."""
        return len(self._zones) + 1

    @property
    def is_zoned(self) -> bool:
        """Tell whether only the own zone's requests are heard of at once."""
        return self.instances_count > MESH_LIMIT

    @property
    def mesh_size(self) -> int:
        """Count the instances that hear of each other at once, this one included."""
        return len(self.mesh_peers()) + 1

    @property
    def zones_count(self) -> int:
        """Count the availability zones with instances, this one's included."""
        return len(self._by_zone.keys() | {self._context.zone})

    @property
    def notice_interval_ms(self) -> float:
        """Give the time between two notices of one instance."""
        return len(self.mesh_peers()) * 1e3 / DATAGRAMS_PER_S

    def coalesce_ms(self, *, is_owner: bool) -> float:
        """Give the time for which notices that came may lie before they are read; 0 for none.

        They are read before each choice of a server in any case.

        :param is_owner: whether this instance has batch jobs, whose items make room by them.
        """
        if not self.is_zoned:
            return 0.0
        return OWNER_COALESCE_MS if is_owner else COALESCE_MS

    @property
    def store_interval_factor(self) -> float:
        """Give the factor by which calls of the store are rarer than in a small fleet."""
        return min(
            MAX_STORE_INTERVAL_FACTOR, max(1.0, self.instances_count / STORE_PACING_THRESHOLD)
        )

    def mesh_peers(self) -> list[InstanceId]:
        """List the instances that are told of every change."""
        if self.is_zoned:
            return self.peers_in_zone(self._context.zone)
        return list(self._zones)

    def all_peers(self) -> list[InstanceId]:
        """List all other instances; for what seldom has to be told."""
        return list(self._zones)

    def registrars(self, name: str) -> list[InstanceId]:
        """Choose the instances that collect what is seen of something; this one may be one.

        All choose the same ones, as far as they know of the same instances.
        """
        everybody = [*self._zones, self._context.instance_id]
        return nlargest(REGISTRARS_COUNT, everybody, key=lambda each: rendezvous_weight(each, name))

    def peers_in_zone(self, zone: AvailabilityZone) -> list[InstanceId]:
        """List the other instances of an availability zone."""
        return self._by_zone.get(zone, [])

    def zone_of(self, instance_id: InstanceId) -> AvailabilityZone | None:
        """Give an instance's availability zone; ``None`` when it is not known."""
        return self._zones.get(instance_id)

    def one_peer_per_remote_zone(self, turn: int) -> list[InstanceId]:
        """Give one instance of each other availability zone, another one each turn.

        Those of one zone begin at different places of the others, so that in each turn all of
        another zone are told by somebody, as far as there are as many here. Drawn by chance, a
        third of them heard nothing in a turn, and some nothing in four.
        """
        own_id = self._context.instance_id
        place = sum(other < own_id for other in self.peers_in_zone(self._context.zone))
        return [
            instances[(place + turn) % len(instances)]
            for zone, instances in self._by_zone.items()
            if zone != self._context.zone
        ]
