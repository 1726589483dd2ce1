"""What is logged and counted of servers that go out and come back."""

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

#: Witnesses named in one line.
NAMED_LIMIT = 8


class HealthLog:
    """One line for each change of what this instance believes of a server."""

    def __init__(self, metrics: Metrics) -> None:
        """Use the metrics handed in."""
        self._metrics = metrics

    def changed(self, change: HealthChange) -> None:
        """Tell of a change and of what it rests on."""
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
                'witnesses': change.witnesses[:NAMED_LIMIT],
                'witnesses_count': len(change.witnesses),
                'outs_count': change.outs_count,
            },
        )

    def probe_started(self, state: ServerState) -> None:
        """Tell that a server that is out gets a request to try it."""
        self._metrics.counters['server_trials'] += 1
        log.info('server.trial', extra={'server_id': state.listed.id})
