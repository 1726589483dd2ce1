"""Which instances exchange every request count, and how often all of them call the store."""

from __future__ import annotations

from collections import Counter
from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import AvailabilityZone, InstanceId

__all__ = ('PeerTopology',)

#: Fleets up to this size form a full mesh, so that each request finds free capacity on any server.
#: Beyond it only an availability zone does: to process each start and end of all requests would
#: take an instance more processor time than its own callers do.
MESH_LIMIT = 24
#: Datagrams that an instance sends to its peers per second at most. With n peers a change waits at
#: most n ms, 12 ms at 13 instances.
DATAGRAMS_PER_S = 1_000.0
#: In a large fleet an instance receives 80 notices a second and routes one or two requests. Waking
#: up for each notice took 20 ms of processor time a second, 4 ms with this (one instance,
#: stand-ins). The tenth of a second is what its peers' updates on crashes and jobs may wait.
COALESCE_MS = 100.0
#: ... and where batch items may have to be preempted: an online request waits for this at most, a
#: tenth of the time within which its first event is expected.
OWNER_COALESCE_MS = 30.0
#: Instances that collect the observations on one subject. If half of all instances are lost at
#: once, at least one of three is left seven times in eight.
REGISTRARS_COUNT = 3
#: Larger fleets call the store less often, in proportion, so that heartbeats and reads of them,
#: whose size also grows with the fleet, stay within its rates; the interval grows at most
#: threefold.
STORE_PACING_THRESHOLD = 45
MAX_STORE_INTERVAL_FACTOR = 3.0


class PeerTopology:
    """The other instances by availability zone.

    Request counts that requests are routed by must be at most tens of ms old; otherwise all
    instances choose the server that was last seen free. In a large fleet this holds for the servers
    of an instance's own zone, whose counts are exchanged by the instances of that zone and by all
    that use them. The load on other servers arrives as a total, twice a second.
    """

    def __init__(self, context: Context) -> None:
        """Start without peers."""
        self._context = context
        self._by_zone: dict[AvailabilityZone, list[InstanceId]] = {}
        self._zones: dict[InstanceId, AvailabilityZone] = {}

    def replace(self, zones: Mapping[InstanceId, AvailabilityZone]) -> None:
        """Replace the set of other instances."""
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
        """Count all instances, including this one."""
        return len(self._zones) + 1

    @property
    def is_zoned(self) -> bool:
        """Return whether only the local zone's counts are exchanged at once."""
        return self.instances_count > MESH_LIMIT

    @property
    def mesh_size(self) -> int:
        """Count the instances that exchange every change at once, including this one."""
        return len(self.mesh_peers()) + 1

    @property
    def zones_count(self) -> int:
        """Count the availability zones that have instances, including this one."""
        return len(self._by_zone.keys() | {self._context.zone})

    @property
    def notice_interval_ms(self) -> float:
        """Return the minimum time between two notices of one instance."""
        return len(self.mesh_peers()) * 1e3 / DATAGRAMS_PER_S

    def coalesce_ms(self, *, is_owner: bool) -> float:
        """Return how long received notices may wait to be read; 0 for no wait.

        They are always read before a server is chosen.

        :param is_owner: whether this instance owns batch jobs, whose items may be preempted because
            of the notices.
        """
        if not self.is_zoned:
            return 0.0
        return OWNER_COALESCE_MS if is_owner else COALESCE_MS

    @property
    def store_interval_factor(self) -> float:
        """Return the factor by which store calls are less frequent than in a small fleet."""
        return min(
            MAX_STORE_INTERVAL_FACTOR, max(1.0, self.instances_count / STORE_PACING_THRESHOLD)
        )

    def mesh_peers(self) -> list[InstanceId]:
        """List the peers that receive every change."""
        if self.is_zoned:
            return self.peers_in_zone(self._context.zone)
        return list(self._zones)

    def all_peers(self) -> list[InstanceId]:
        """List all other instances, for rare messages."""
        return list(self._zones)

    def registrars(self, name: str) -> list[InstanceId]:
        """Choose the instances that collect observations on a subject; may include this one.

        All instances choose the same ones as far as they know the same instances.
        """
        instances = [*self._zones, self._context.instance_id]
        return nlargest(REGISTRARS_COUNT, instances, key=lambda each: rendezvous_weight(each, name))

    def is_registrar(self, name: str) -> bool:
        """Return whether this instance collects observations on a subject."""
        return self._context.instance_id in self.registrars(name)

    def is_first_registrar(self, name: str) -> bool:
        """Return whether this instance is the first of those that collect observations."""
        return self._context.instance_id == self.registrars(name)[0]

    def record_holders(self, name: str, count: int) -> list[InstanceId]:
        """Choose other instances that keep records on a subject, over all zones.

        Instances that know different peers choose nearly the same ones; who looks for a record asks
        for a larger count.

        :returns: the first ones of each zone in turn, in the order of all instances' weights.
        """
        ranked = sorted(self._zones, key=lambda each: rendezvous_weight(each, name), reverse=True)
        seen_by_zone: Counter[AvailabilityZone] = Counter()
        turns: list[tuple[int, int]] = []
        for rank, instance_id in enumerate(ranked):
            zone = self._zones[instance_id]
            turns.append((seen_by_zone[zone], rank))
            seen_by_zone[zone] += 1
        return [ranked[rank] for _, rank in sorted(turns)[:count]]

    def peers_in_zone(self, zone: AvailabilityZone) -> list[InstanceId]:
        """List the other instances of an availability zone."""
        return self._by_zone.get(zone, [])

    def zone_of(self, instance_id: InstanceId) -> AvailabilityZone | None:
        """Return an instance's availability zone; ``None`` if the instance is unknown."""
        return self._zones.get(instance_id)

    def one_peer_per_remote_zone(self, rotation: int) -> list[InstanceId]:
        """Return one instance of each remote zone, a different one in each rotation.

        The instances of one zone start at different offsets, so that in each rotation every
        instance of a remote zone is covered, if there are as many instances here. With a random
        choice a third of them received nothing in a rotation, and some nothing in four.
        """
        own_id = self._context.instance_id
        offset = sum(other < own_id for other in self.peers_in_zone(self._context.zone))
        return [
            instances[(offset + rotation) % len(instances)]
            for zone, instances in self._by_zone.items()
            if zone != self._context.zone
        ]
