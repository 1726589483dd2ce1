"""Which instance probes a server that is not healthy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import ServerIncarnation

__all__ = ('ProbeSchedule',)

#: Length of a rotation. A server that has recovered is used again after some rotations, and one
#: that has not fails at most five requests a second, which are retried elsewhere.
ROTATION_MS = 200.0


class ProbeSchedule:
    """Assign each unhealthy server one instance per rotation, by rendezvous hashing.

    Instances agree on nothing, so that no holder can be lost; clocks that differ cost a second
    probe.
    """

    def __init__(self, context: Context, topology: PeerTopology) -> None:
        """Start without probes."""
        self._context = context
        self._topology = topology
        self._claimed: dict[ServerIncarnation, int] = {}

    def try_claim(self, state: ServerState) -> bool:
        """Claim the probe of a server if it is due at this instance now; return whether it was."""
        now_ms = self._context.now_ms()
        if state.ejected_until_ms > now_ms:
            return False
        record = state.health_record
        since_failure_ms = now_ms - record.last_failure_ms
        # Failures in remote zones only are no reason to wait.
        if not record.fails_elsewhere_only and since_failure_ms < record.probe_delay_ms(now_ms):
            return False
        rotation = int(self._context.epoch_ms() // ROTATION_MS)
        if self._claimed.get(state.incarnation) == rotation or not self._is_own_rotation(
            state, rotation
        ):
            return False
        self._claimed = {
            incarnation: each for incarnation, each in self._claimed.items() if each == rotation
        }
        self._claimed[state.incarnation] = rotation
        return True

    def _is_own_rotation(self, state: ServerState, rotation: int) -> bool:
        own_id = self._context.instance_id
        seed = f'{state.listed.stated_incarnation}.{rotation}'
        own_weight = rendezvous_weight(own_id, seed)
        peers = self._topology.all_peers()
        return all(rendezvous_weight(other, seed) < own_weight for other in peers)
