"""Which of an instance's counts its peers are told, and when."""

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

#: Counts that are not zero are told again, since datagrams get lost and counts lapse.
RENEW_EVERY_MS = 500.0
#: How often an instance of a large fleet tells one instance of each other zone what is on the
#: servers of its own zone; with as many instances in each zone all hear of it that often.
TOTALS_EVERY_MS = 500.0
#: For so long after a server's last request somebody may still count what was told of it.
TOTAL_LIFETIME_MS = PEER_COUNT_MS + TOTALS_EVERY_MS


class ServerLoad(msgspec.Struct, frozen=True):
    """What the sender has on one server; in totals, what all have."""

    server: int
    online: int
    batch: int


class AddressedLoadCounts(msgspec.Struct, frozen=True):
    """Counts and those who are told them."""

    recipients: list[InstanceId]
    loads: list[ServerLoad]


class LoadNotices:
    """Tells peers what changed, a bounded number of times a second."""

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Start having told nothing."""
        self._context = context
        self._registry = book
        self._published: dict[ServerIncarnation, tuple[int, int]] = {}
        self._renewed_ms = 0.0
        self._sent_ms = float('-inf')
        #: Turn in which totals were last told. Turns are counted by the wall clock, so that all
        #: are in the same one, about.
        self.totals_rotation = 0
        #: When the servers of the own zone were last seen with requests.
        self._last_busy_ms: dict[ServerIncarnation, float] = {}

    def next_pause_ms(self) -> float:
        """Give the time until the next notice may go out."""
        gap_ms = self._registry.topology.notice_interval_ms
        return max(0.0, self._sent_ms + gap_ms - self._context.now_ms())

    def take_due(self) -> list[ServerLoad]:
        """Give what peers are to be told now; nothing when nothing changed."""
        now_ms = self._context.now_ms()
        is_renewal = now_ms - self._renewed_ms >= RENEW_EVERY_MS
        if is_renewal:
            self._renewed_ms = now_ms
        loads = []
        listed = set()
        for state in self._registry.states():
            listed.add(state.incarnation)
            counts = (state.own.online, state.own.batch)
            told = self._published.get(state.incarnation, (0, 0))
            if counts != told or (is_renewal and counts != (0, 0)):
                self._published[state.incarnation] = counts
                loads.append(ServerLoad(server_digest(state.listed), *counts))
        for life in [each for each in self._published if each not in listed]:
            del self._published[life]
        if loads:
            self._sent_ms = now_ms
        return loads

    def add_recipients(self, loads: list[ServerLoad]) -> list[AddressedLoadCounts]:
        """Choose who is told of which counts.

        Besides the neighbours these are, for a server of another availability zone, the instances
        of that zone, and whoever runs batch items on a server: an online request that has come to
        it would wait until its owner hears of it.
        """
        if not loads:
            return []
        neighbours = self._registry.topology
        addressed = [AddressedLoadCounts(neighbours.mesh_peers(), loads)]
        if not neighbours.is_zoned:
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
                if neighbours.zone_of(owner) not in (own_zone, zone):
                    by_owner.setdefault(owner, []).append(load)
        addressed += [
            AddressedLoadCounts(neighbours.peers_in_zone(zone), by_zone[zone]) for zone in by_zone
        ]
        addressed += [AddressedLoadCounts([owner], by_owner[owner]) for owner in by_owner]
        return addressed

    def take_totals(self) -> list[ServerLoad]:
        """Give what all instances have on the servers of this zone, when that is to be told.

        Idle servers are left out once whoever heard of requests there has forgotten them: told of
        each, all instances of a zone would send bytes that grow with the square of the fleet.
        """
        turn = int(self._context.epoch_ms() // TOTALS_EVERY_MS)
        if not self._registry.topology.is_zoned or turn == self.totals_rotation:
            return []
        self.totals_rotation = turn
        now_ms = self._context.now_ms()
        self._last_busy_ms = {
            life: busy_ms
            for life, busy_ms in self._last_busy_ms.items()
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
        """Take in what a peer has on servers."""
        now_ms = self._context.now_ms()
        for load in loads:
            state = self._registry.by_digest(load.server)
            if state is not None:
                state.record_peer_counts(peer, load.online, load.batch, now_ms)

    def record_totals(self, loads: list[ServerLoad]) -> None:
        """Take in what all instances have on the servers of another zone."""
        now_ms = self._context.now_ms()
        for load in loads:
            state = self._registry.by_digest(load.server)
            if state is not None and state.listed.zone != self._context.zone:
                state.record_total(load.online, load.batch, now_ms)
