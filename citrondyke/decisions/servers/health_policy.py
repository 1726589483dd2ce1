"""Which servers an online request may go to, by their health in the fleet."""

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

#: Interval between two evaluations of a service. With all of 65 instances publishing counts of all
#: of 45 servers one takes some ms of processor time; within the interval a failing server gets at
#: most one request.
EVALUATE_EVERY_MS = 40.0


class HealthPolicy:
    """Evaluate servers, and choose those for at-most-once requests and those to probe."""

    def __init__(self, context: Context, topology: PeerTopology) -> None:
        """Start without listeners."""
        self._context = context
        self._due_ms: dict[ServiceName, float] = {}
        self._evaluator = HealthEvaluator(context, topology)
        self._probes = ProbeSchedule(context, topology)
        self.on_change: Callable[[HealthChange], None] = _no_listener
        self.on_probe: Callable[[ServerState], None] = _no_listener

    def evaluate(self, states: Sequence[ServerState]) -> None:
        """Update the health of the servers of one service, if the interval has passed."""
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
        """Return a degraded or ejected server that this instance should probe now.

        A server of high cost would otherwise get no requests and never recover.
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
        eligible: list[ServerState], is_full: Callable[[ServerState], bool], now_ms: float
    ) -> list[ServerState]:
        """Choose the servers for requests that may run at most once.

        A failure there cannot be repaired by a retry, so healthy servers with a confirmed
        incarnation come first, unless all of these are full.
        """
        healthy = [
            state for state in eligible if state.health_record.health is ServerHealth.HEALTHY
        ]
        confirmed = [state for state in healthy if state.health_record.is_past_confirmation(now_ms)]
        return confirmed if not all(map(is_full, confirmed)) else healthy or eligible


def _no_listener(_: object) -> None:
    """Do nothing, while no listener is set."""
