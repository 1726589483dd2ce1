"""Which outcome counts of failing servers are published to peers, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.forwarding.server_registry import server_digest
from citrondyke.decisions.servers.outcomes import NEVER_MS, Outcome
from citrondyke.decisions.servers.server_evidence import ServerEvidence

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import InstanceId, ServerIncarnation

__all__ = ('EvidenceNotices',)

#: Datagrams that an instance sends for this per second at most, however large the fleet is.
DATAGRAMS_PER_S = 200.0
#: Each update is sent once more after this time: one datagram in a hundred is lost.
RESEND_AFTER_MS = 150.0


class EvidenceNotices:
    """Publish failures to all peers at once, and successes of degraded or ejected servers."""

    def __init__(self, context: Context, registry: ServerRegistry) -> None:
        """Start with nothing published."""
        self._context = context
        self._registry = registry
        self._sent_ms = NEVER_MS
        self._resend_ms: dict[ServerIncarnation, float] = {}

    def next_pause_ms(self) -> float | None:
        """Return the time until the next update may be sent; ``None`` if there is none."""
        due_ms = min(self._resend_ms.values(), default=float('inf'))
        if any(state.health_record.has_update for state in self._registry.states()):
            due_ms = NEVER_MS
        if due_ms == float('inf'):
            return None
        gap_ms = self._registry.topology.instances_count * 1e3 / DATAGRAMS_PER_S
        now_ms = self._context.now_ms()
        return max(0.0, due_ms - now_ms, self._sent_ms + gap_ms - now_ms)

    def take_due(self) -> list[ServerEvidence]:
        """Return the outcome counts to publish now."""
        now_ms = self._context.now_ms()
        rows = []
        resend_ms = {}
        for state in self._registry.states():
            has_update = state.health_record.has_update
            due_ms = self._resend_ms.get(state.incarnation)
            if has_update or (due_ms is not None and due_ms <= now_ms):
                rows.append(self._row(state, now_ms))
            elif due_ms is not None:
                resend_ms[state.incarnation] = due_ms
            if has_update:
                state.health_record.has_update = False
                resend_ms[state.incarnation] = now_ms + RESEND_AFTER_MS
        self._resend_ms = resend_ms
        if rows:
            self._sent_ms = now_ms
        return rows

    def record_peer_evidence(self, peer: InstanceId, rows: list[ServerEvidence]) -> None:
        """Apply the outcome counts of a peer; those of unknown incarnations are ignored."""
        now_ms = self._context.now_ms()
        services = set()
        for row in rows:
            state = self._registry.by_digest(row.server)
            if state is not None:
                state.health_record.merge_peer_outcomes(peer, row, now_ms)
                services.add(state.listed.service)
        for service in services:
            self._registry.evaluate_health(service)

    @staticmethod
    def _row(state: ServerState, now_ms: float) -> ServerEvidence:
        record = state.health_record
        counts = record.own.counts_since(record.counts_since_ms(), now_ms)
        failure_ms = record.own.last_failure_ms
        success_ms = record.own.last_ms(Outcome.SUCCEEDED)
        return ServerEvidence(
            server=server_digest(state.listed),
            failed=counts.failed,
            unanswered=counts.unanswered,
            succeeded=counts.succeeded,
            recovered=record.own.successes_after(record.last_failure_ms),
            failure_age_ms=None if failure_ms == NEVER_MS else now_ms - failure_ms,
            success_age_ms=None if success_ms == NEVER_MS else now_ms - success_ms,
        )
