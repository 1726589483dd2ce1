"""Log events and counters of changes in the health of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from citrondyke.decisions.servers.server_health import ServerHealth

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.decisions.servers.server_health import HealthChange
    from citrondyke.gateway.metrics import Metrics

__all__ = ('HealthLog',)

log = logbook.Logger(__name__)

#: Observers named in one line.
NAMED_LIMIT = 8


class HealthLog:
    """Logs one line for each change of a server's health as seen by this instance."""

    def __init__(self, metrics: Metrics) -> None:
        """Use the metrics handed in."""
        self._metrics = metrics

    def changed(self, change: HealthChange) -> None:
        """Log a change with the evidence for it."""
        event = 'server.doubted'
        if change.after is ServerHealth.EJECTED:
            event = 'server.out'
        elif change.before is ServerHealth.EJECTED:
            event = 'server.back'
        elif change.after is ServerHealth.HEALTHY:
            event = 'server.sound'
        self._metrics.counters[event.replace('.', 's_')] += 1
        log.info(
            event,
            extra={
                'server_id': change.server_id,
                'failures': change.failures,
                'successes': change.successes,
                'failure_age_ms': round(change.failure_age_ms, 1),
                'witnesses': change.observers[:NAMED_LIMIT],
                'witnesses_count': len(change.observers),
                'outs_count': change.ejections_count,
            },
        )

    def probe_started(self, state: ServerState) -> None:
        """Log that a request is sent to an ejected server as a probe."""
        self._metrics.counters['server_trials'] += 1
        log.info('server.trial', extra={'server_id': state.listed.id})
