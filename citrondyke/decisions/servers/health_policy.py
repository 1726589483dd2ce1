"""Which servers an online request may go to, by how they stand with the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.servers.health_evaluator import HealthEvaluator
from citrondyke.decisions.servers.probe_schedule import ProbeSchedule
from citrondyke.decisions.servers.server_health import ServerHealth

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.servers.server_health import HealthChange
    from citrondyke.ids import ServiceName

__all__ = ('HealthPolicy',)

#: Between two judgements of a service: with all of 65 instances telling of all of 45 servers one
#: takes some ms of processor time, and within it a failing server gets a request at the most.
EVALUATE_EVERY_MS = 40.0


class HealthPolicy:
    """Judges servers, chooses those for what may run once only, and those to be tried."""

    def __init__(self, context: Context, neighbours: PeerTopology) -> None:
        """Start with nobody told of changes."""
        self._context = context
        self._due_ms: dict[ServiceName, float] = {}
        self._evaluator = HealthEvaluator(context, neighbours)
        self._probes = ProbeSchedule(context, neighbours)
        self.on_change: Callable[[HealthChange], None] = _no_listener
        self.on_probe: Callable[[ServerState], None] = _no_listener

    def evaluate(self, states: Sequence[ServerState]) -> None:
        """Bring the standing of one service's servers up to date, some times a second."""
        now_ms = self._context.now_ms()
        service = states[0].listed.service if states else None
        if service is None or now_ms < self._due_ms.get(service, 0.0):
            return
        if not any(state.health_record.needs_evaluation(now_ms) for state in states):
            return
        self._due_ms[service] = now_ms + EVALUATE_EVERY_MS
        for change in self._evaluator.evaluate(states):
            self.on_change(change)

    def server_to_probe(self, states: Iterable[ServerState]) -> ServerState | None:
        """Give a server in doubt that is to be tried by this instance now.

        One that is dear would otherwise stay in doubt for want of requests.
        """
        for state in states:
            if state.health_record.health is not ServerHealth.HEALTHY and self._probes.try_claim(
                state
            ):
                self.on_probe(state)
                return state
        return None

    @staticmethod
    def servers_for_at_most_once(
        usable: list[ServerState], expected_to_wait: Callable[[ServerState], bool], now_ms: float
    ) -> list[ServerState]:
        """Choose the servers for what may run once only: a failure there cannot be made good."""
        sound = [state for state in usable if state.health_record.health is ServerHealth.HEALTHY]
        proven = [state for state in sound if state.health_record.is_past_confirmation(now_ms)]
        return proven if not all(map(expected_to_wait, proven)) else sound or usable


def _no_listener(_: object) -> None:
    """Stand where nobody is told."""
