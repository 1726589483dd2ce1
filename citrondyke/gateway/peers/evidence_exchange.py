"""Exchange of the outcomes of requests at failing servers with all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

from citrondyke.decisions.servers.evidence_notices import EvidenceNotices
from citrondyke.gateway.peers.peer_codec import EvidenceNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('EvidenceExchange',)

#: Servers in one datagram: 12 bytes each, and the datagram must fit into one packet.
ROWS_PER_DATAGRAM = 80


class EvidenceExchange:
    """Publishes this instance's outcomes at failing servers, and merges those of its peers."""

    def __init__(self, context: Context, registry: ServerRegistry) -> None:
        """Start with nothing to publish."""
        self._registry = registry
        self._notices = EvidenceNotices(context, registry)
        self._has_updates = Event()

    def start(self, tasks: Tasks, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Start publishing.

        :param send: sends a datagram to some peers.
        """
        tasks.supervise(lambda: self._run(send))

    def record_outcome(self, state: ServerState) -> None:
        """Publish the outcomes at a server soon if they have changed."""
        if state.health_record.has_update:
            self._has_updates.set()

    def on_message(self, sender: InstanceId, news: EvidenceNews) -> None:
        """Merge the outcomes that a peer has published."""
        self._notices.record_peer_evidence(sender, news.rows)

    def _run(self, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        while True:
            pause_ms = self._notices.next_pause_ms()
            if pause_ms is None:
                self._has_updates.clear()
                self._has_updates.wait()
                continue
            if pause_ms > 0:
                self._has_updates.clear()
                self._has_updates.wait(pause_ms / 1e3)
                continue
            rows = self._notices.take_due()
            for start in range(0, len(rows), ROWS_PER_DATAGRAM):
                part = rows[start : start + ROWS_PER_DATAGRAM]
                send(EvidenceNews(part), self._registry.topology.all_peers())
