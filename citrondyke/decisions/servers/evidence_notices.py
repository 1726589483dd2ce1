"""What peers are told of servers that fail, and when."""

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

#: Datagrams that an instance sends for this in a second at the most, however large the fleet is.
DATAGRAMS_PER_S = 200.0
#: What is told is told once more after so long: one datagram in a hundred is lost.
RESEND_AFTER_MS = 150.0


class EvidenceNotices:
    """Tells all peers of failures at once, and of successes where servers are doubted."""

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Start having told nothing."""
        self._context = context
        self._registry = book
        self._sent_ms = NEVER_MS
        self._resend_ms: dict[ServerIncarnation, float] = {}

    def next_pause_ms(self) -> float | None:
        """Give the time until something is to be told; ``None`` while there is nothing."""
        due_ms = min(self._resend_ms.values(), default=float('inf'))
        if any(state.health_record.has_update for state in self._registry.states()):
            due_ms = NEVER_MS
        if due_ms == float('inf'):
            return None
        gap_ms = self._registry.topology.instances_count * 1e3 / DATAGRAMS_PER_S
        now_ms = self._context.now_ms()
        return max(0.0, due_ms - now_ms, self._sent_ms + gap_ms - now_ms)

    def take_due(self) -> list[ServerEvidence]:
        """Give what peers are to be told now."""
        now_ms = self._context.now_ms()
        rows = []
        again_ms = {}
        for state in self._registry.states():
            is_news = state.health_record.has_update
            due_ms = self._resend_ms.get(state.incarnation)
            if is_news or (due_ms is not None and due_ms <= now_ms):
                rows.append(self._row(state, now_ms))
            elif due_ms is not None:
                again_ms[state.incarnation] = due_ms
            if is_news:
                state.health_record.has_update = False
                again_ms[state.incarnation] = now_ms + RESEND_AFTER_MS
        self._resend_ms = again_ms
        if rows:
            self._sent_ms = now_ms
        return rows

    def record_peer_evidence(self, peer: InstanceId, rows: list[ServerEvidence]) -> None:
        """Take in what a peer tells; of lives that are not known it says nothing."""
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
        sums = record.own.counts_since(record.counts_since_ms(), now_ms)
        failure_ms = record.own.last_failure_ms
        success_ms = record.own.last_ms(Outcome.SUCCEEDED)
        return ServerEvidence(
            server=server_digest(state.listed),
            failed=sums.failed,
            unanswered=sums.unanswered,
            succeeded=sums.succeeded,
            recovered=record.own.successes_after(record.last_failure_ms),
            failure_age_ms=None if failure_ms == NEVER_MS else now_ms - failure_ms,
            success_age_ms=None if success_ms == NEVER_MS else now_ms - success_ms,
        )
