"""Tells peers what this instance has on each server, and takes in what they have."""

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

#: Servers in one datagram: 12 bytes each at the most, and it must fit one packet.
LOADS_PER_DATAGRAM = 80
#: Time without a change after which it is looked whether counts are to be told again.
POLL_S = 0.25


class LoadExchange:
    """Carries counts between this instance's view of the servers and its peers."""

    def __init__(
        self, notices: LoadNotices, topology: PeerTopology, on_loads: Callable[[], None]
    ) -> None:
        """Use the decisions handed in.

        :param on_loads: called after a peer's counts were taken in.
        """
        self._notices = notices
        self._topology = topology
        self._on_loads = on_loads
        self._changed = Event()

    def start(self, tasks: Tasks, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Begin to tell.

        :param send: sends a datagram to some peers.
        """
        tasks.supervise(lambda: self._run(send))

    def mark_changed(self) -> None:
        """Have peers told soon."""
        self._changed.set()

    def on_message(self, sender: InstanceId, text: LoadNotice | LoadTotals) -> None:
        """Take in what a peer tells."""
        if isinstance(text, LoadNotice):
            self._notices.record_peer_counts(sender, text.loads)
        else:
            self._notices.record_totals(text.loads)
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
            receivers = self._topology.one_peer_per_remote_zone(self._notices.totals_rotation)
            for start in range(0, len(totals), LOADS_PER_DATAGRAM):
                send(LoadTotals(totals[start : start + LOADS_PER_DATAGRAM]), receivers)
