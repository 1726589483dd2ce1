"""Whose turn it is to try a server that is out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import ServerIncarnation

__all__ = ('ProbeSchedule',)

#: Length of a turn: a server that has recovered is back after some of them, and one that has not
#: fails no more than five requests a second, which are repeated elsewhere.
ROTATION_MS = 200.0


class ProbeSchedule:
    """Gives each server that is out one instance a turn, by rendezvous.

    Nothing is agreed on, so that no holder can be lost; clocks that differ cost a second trial.
    """

    def __init__(self, context: Context, neighbours: PeerTopology) -> None:
        """Start without a trial."""
        self._context = context
        self._topology = neighbours
        self._claimed: dict[ServerIncarnation, int] = {}

    def try_claim(self, state: ServerState) -> bool:
        """Tell whether this instance may send a request to a server now; it counts as sent."""
        now_ms = self._context.now_ms()
        if state.ejected_until_ms > now_ms:
            return False
        record = state.health_record
        since_failure_ms = now_ms - record.last_failure_ms
        # Where only other zones are failed, their failures are no reason to wait.
        if not record.fails_elsewhere_only and since_failure_ms < record.probe_delay_ms(now_ms):
            return False
        turn = int(self._context.epoch_ms() // ROTATION_MS)
        if self._claimed.get(state.incarnation) == turn or not self._is_own_rotation(state, turn):
            return False
        self._claimed = {life: each for life, each in self._claimed.items() if each == turn}
        self._claimed[state.incarnation] = turn
        return True

    def _is_own_rotation(self, state: ServerState, turn: int) -> bool:
        own_id = self._context.instance_id
        seed = f'{state.listed.stated_incarnation}.{turn}'
        own_weight = rendezvous_weight(own_id, seed)
        others = self._topology.all_peers()
        return all(rendezvous_weight(other, seed) < own_weight for other in others)
