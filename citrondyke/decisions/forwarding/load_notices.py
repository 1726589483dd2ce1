"""Select which of this instance's request counts are published to peers, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.decisions.forwarding.server_state import PEER_COUNT_MS

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.ids import AvailabilityZone, InstanceId, ServerIncarnation

__all__ = ('LoadNotices', 'ServerLoad')

#: Nonzero counts are published again after this time, since datagrams get lost and counts expire.
RENEW_EVERY_MS = 500.0
#: Interval at which an instance of a large fleet sends one instance of each remote zone the load of
#: the servers of its own zone. With as many instances in each zone, every instance receives the
#: totals at this interval.
TOTALS_EVERY_MS = 500.0
#: Time after a server's last request during which some instance may still count published load.
TOTAL_LIFETIME_MS = PEER_COUNT_MS + TOTALS_EVERY_MS


class ServerLoad(msgspec.Struct, frozen=True):
    """Requests of the sender on one server; in totals, requests of all instances."""

    server: int
    online: int
    batch: int


class AddressedLoadCounts(msgspec.Struct, frozen=True):
    """Counts and the instances that receive them."""

    recipients: list[InstanceId]
    loads: list[ServerLoad]


class LoadNotices:
    """Publish changed counts to peers at a bounded rate."""

    def __init__(self, context: Context, registry: ServerRegistry) -> None:
        """Start with nothing published."""
        self._context = context
        self._registry = registry
        self._published: dict[ServerIncarnation, tuple[int, int]] = {}
        self._renewed_ms = 0.0
        self._sent_ms = float('-inf')
        #: Rotation in which totals were last sent. Rotations are counted by the wall clock, so that
        #: all instances are in about the same one.
        self.totals_rotation = 0
        #: When the servers of the local zone last had requests.
        self._last_busy_ms: dict[ServerIncarnation, float] = {}

    def next_pause_ms(self) -> float:
        """Return the time until the next notice may be sent."""
        gap_ms = self._registry.topology.notice_interval_ms
        return max(0.0, self._sent_ms + gap_ms - self._context.now_ms())

    def take_due(self) -> list[ServerLoad]:
        """Return the counts to publish now; empty if nothing changed."""
        now_ms = self._context.now_ms()
        is_renewal = now_ms - self._renewed_ms >= RENEW_EVERY_MS
        if is_renewal:
            self._renewed_ms = now_ms
        loads = []
        listed = set()
        for state in self._registry.states():
            listed.add(state.incarnation)
            counts = (state.own.online, state.own.batch)
            published = self._published.get(state.incarnation, (0, 0))
            if counts != published or (is_renewal and counts != (0, 0)):
                self._published[state.incarnation] = counts
                loads.append(ServerLoad(server_digest(state.listed), *counts))
        for incarnation in [each for each in self._published if each not in listed]:
            del self._published[incarnation]
        if loads:
            self._sent_ms = now_ms
        return loads

    def add_recipients(self, loads: list[ServerLoad]) -> list[AddressedLoadCounts]:
        """Choose the recipients of each count.

        Besides the peers of the mesh these are, for a server of a remote zone, the instances of
        that zone, and every instance that runs batch items on the server: an online request there
        would wait until the owner of the items receives its count.
        """
        if not loads:
            return []
        topology = self._registry.topology
        addressed = [AddressedLoadCounts(topology.mesh_peers(), loads)]
        if not topology.is_zoned:
            return addressed
        own_zone = self._context.zone
        by_zone: dict[AvailabilityZone, list[ServerLoad]] = {}
        by_owner: dict[InstanceId, list[ServerLoad]] = {}
        for load in loads:
            state = self._registry.by_digest(load.server)
            if state is None:
                continue
            zone = state.listed.zone
            if zone != own_zone:
                by_zone.setdefault(zone, []).append(load)
            for owner in state.batch_by_peer(self._context.now_ms()):
                if topology.zone_of(owner) not in (own_zone, zone):
                    by_owner.setdefault(owner, []).append(load)
        addressed += [
            AddressedLoadCounts(topology.peers_in_zone(zone), by_zone[zone]) for zone in by_zone
        ]
        addressed += [AddressedLoadCounts([owner], by_owner[owner]) for owner in by_owner]
        return addressed

    def take_totals(self) -> list[ServerLoad]:
        """Return the load of all instances on the servers of this zone when it is due.

        Idle servers are left out once all recipients have expired their earlier load. If every
        server were sent, the bytes between zones would grow with the square of the fleet.
        """
        rotation = int(self._context.epoch_ms() // TOTALS_EVERY_MS)
        if not self._registry.topology.is_zoned or rotation == self.totals_rotation:
            return []
        self.totals_rotation = rotation
        now_ms = self._context.now_ms()
        self._last_busy_ms = {
            incarnation: busy_ms
            for incarnation, busy_ms in self._last_busy_ms.items()
            if now_ms - busy_ms <= TOTAL_LIFETIME_MS
        }
        totals = []
        for state in self._registry.states():
            if state.listed.zone != self._context.zone:
                continue
            online, batch = state.online_count(now_ms), state.batch_count(now_ms)
            if online or batch:
                self._last_busy_ms[state.incarnation] = now_ms
            elif state.incarnation not in self._last_busy_ms:
                continue
            totals.append(ServerLoad(server_digest(state.listed), online, batch))
        return totals

    def record_peer_counts(self, peer: InstanceId, loads: list[ServerLoad]) -> None:
        """Apply a peer's request counts."""
        now_ms = self._context.now_ms()
        for load in loads:
            state = self._registry.by_digest(load.server)
            if state is not None:
                state.record_peer_counts(peer, load.online, load.batch, now_ms)

    def record_totals(self, loads: list[ServerLoad]) -> None:
        """Apply the load of all instances on the servers of a remote zone."""
        now_ms = self._context.now_ms()
        for load in loads:
            state = self._registry.by_digest(load.server)
            if state is not None and state.listed.zone != self._context.zone:
                state.record_total(load.online, load.batch, now_ms)
