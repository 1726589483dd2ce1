"""Exchange of the number of requests on each server with the peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from citrondyke.gateway.peers.peer_codec import LoadNotice, LoadTotals

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.forwarding.load_notices import LoadNotices
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('LoadExchange',)

#: Servers in one datagram: at most 12 bytes each, and the datagram must fit into one packet.
LOADS_PER_DATAGRAM = 80
#: Interval without a change after which counts are checked for being due again.
POLL_S = 0.25


class LoadExchange:
    """Publishes this instance's request counts per server, and applies those of its peers."""

    def __init__(
        self, notices: LoadNotices, topology: PeerTopology, on_loads: Callable[[], None]
    ) -> None:
        """Start with nothing to publish.

        :param on_loads: called after a peer's counts were applied.
        """
        self._notices = notices
        self._topology = topology
        self._on_loads = on_loads
        self._changed = Event()

    def start(self, tasks: Tasks, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Start publishing.

        :param send: sends a datagram to some peers.
        """
        tasks.supervise(lambda: self._run(send))

    def mark_changed(self) -> None:
        """Publish changed counts soon."""
        self._changed.set()

    def on_message(self, sender: InstanceId, notice: LoadNotice | LoadTotals) -> None:
        """Apply the counts that a peer has published."""
        if isinstance(notice, LoadNotice):
            self._notices.record_peer_counts(sender, notice.loads)
        else:
            self._notices.record_totals(notice.loads)
        self._on_loads()

    def _run(self, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        while True:
            self._changed.wait(POLL_S)
            pause_ms = self._notices.next_pause_ms()
            if pause_ms > 0:
                gevent.sleep(pause_ms / 1e3)
            self._changed.clear()
            for addressed in self._notices.add_recipients(self._notices.take_due()):
                for start in range(0, len(addressed.loads), LOADS_PER_DATAGRAM):
                    part = addressed.loads[start : start + LOADS_PER_DATAGRAM]
                    send(LoadNotice(part), addressed.recipients)
            totals = self._notices.take_totals()
            if not totals:
                continue
            recipients = self._topology.one_peer_per_remote_zone(self._notices.totals_rotation)
            for start in range(0, len(totals), LOADS_PER_DATAGRAM):
                send(LoadTotals(totals[start : start + LOADS_PER_DATAGRAM]), recipients)
