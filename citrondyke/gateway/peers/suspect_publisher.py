"""Publication of poison suspects: of one exit to few peers, of more exits to all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

from citrondyke.decisions.crashes.suspect import FRESH_WEIGHT
from citrondyke.decisions.crashes.suspect_registry import STORED_SCORE
from citrondyke.decisions.crashes.suspect_update_queue import (
    SuspectNews,
    SuspectUpdateKind,
    SuspectUpdateQueue,
)
from citrondyke.gateway.peers.peer_codec import CrashNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_key import SuspectKey
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('SuspectPublisher',)

#: Notifications of proven parts that may wait; those beyond are left to the next answer.
PROVEN_LIMIT = 64


class SuspectPublisher:
    """Publishes updates of poison suspects at a bounded rate of messages per second."""

    def __init__(self, context: Context, topology: PeerTopology, suspects: SuspectRegistry) -> None:
        """Start with nothing to publish."""
        self._topology = topology
        self._suspects = suspects
        self._queue = SuspectUpdateQueue(context)
        self._has_updates = Event()
        #: Proven parts, each with the instance that counted an exit against it.
        self._proven: dict[tuple[InstanceId, SuspectKey], None] = {}

    def start(self, tasks: Tasks, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Start publishing.

        :param send: sends a datagram to some peers.
        """
        tasks.supervise(lambda: self._run(send))

    def is_published_to_all(self, key: SuspectKey) -> bool:
        """Return whether updates of a suspect are published to all instances.

        In a large fleet a single exit is published only to the suspect's registrars. A server that
        exits runs eight requests, of which nearly all are innocent. Publishing them to 195
        instances three times, and clearing them after the next success, would take 9,000 datagrams.
        """
        is_significant = self._suspects.score(key) >= STORED_SCORE
        return is_significant or not self._topology.is_zoned

    def notify_end(self, server: int, key: SuspectKey, *, is_fresh: bool) -> None:
        """Publish that a server exited while it ran a request with a key."""
        kind = SuspectUpdateKind.FRESH if is_fresh else SuspectUpdateKind.BEGUN
        self._add(server, SuspectNews(key, kind), is_broadcast=self.is_published_to_all(key))

    def notify_survived(self, key: SuspectKey, *, is_broadcast: bool) -> None:
        """Publish that a request with a key ran to its end.

        :param is_broadcast: whether the suspect was published to all instances before.
        """
        self._add(0, SuspectNews(key, SuspectUpdateKind.SURVIVED), is_broadcast=is_broadcast)

    def notify_all_ends(self, key: SuspectKey) -> None:
        """Publish all known exits of a suspect to all instances; each registrar does so once."""
        row = self._suspects.row(key)
        if row is None:
            return
        score = self._suspects.score(key)
        for server, weight in row.lives.items():
            kind = SuspectUpdateKind.FRESH if weight >= FRESH_WEIGHT else SuspectUpdateKind.BEGUN
            self._queue.enqueue(server, SuspectNews(key, kind), score, sends_count=1)
        self._has_updates.set()

    def notify_proven(self, key: SuspectKey, sender: InstanceId) -> None:
        """Tell the instance that counted an exit against a prompt part that it was answered lately.

        The registrars of the key do so, so that the number of messages doesn't grow with the fleet.
        """
        if len(self._proven) < PROVEN_LIMIT and self._topology.is_registrar(key.digest):
            self._proven[sender, key] = None
            self._has_updates.set()

    def next_pause_ms(self) -> float | None:
        """Return the time until the next update is due; ``None`` if there is none."""
        return 0.0 if self._proven else self._queue.next_pause_ms()

    def take_due(self) -> list[tuple[CrashNews, list[InstanceId]]]:
        """Remove and return the messages that are due, each with its recipients."""
        proven, self._proven = self._proven, {}
        if proven:
            return [
                (CrashNews(0, [SuspectNews(key, SuspectUpdateKind.PROVEN)]), [sender])
                for sender, key in proven
            ]
        message = self._queue.take_due()
        if message is None:
            return []
        if message.is_broadcast:
            return [(CrashNews(message.server, message.news), self._topology.all_peers())]
        by_recipient: dict[InstanceId, list[SuspectNews]] = {}
        for update in message.news:
            for recipient in self._topology.registrars(update.key.digest):
                by_recipient.setdefault(recipient, []).append(update)
        return [
            (CrashNews(message.server, updates), [recipient])
            for recipient, updates in by_recipient.items()
        ]

    def _add(self, server: int, update: SuspectNews, *, is_broadcast: bool) -> None:
        self._queue.enqueue(
            server, update, self._suspects.score(update.key), is_broadcast=is_broadcast
        )
        self._has_updates.set()

    def _run(self, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        while True:
            pause_ms = self.next_pause_ms()
            if pause_ms != 0.0:
                # A new update may be due before those that are sent again.
                self._has_updates.clear()
                self._has_updates.wait(None if pause_ms is None else pause_ms / 1e3)
                continue
            for message, recipients in self.take_due():
                send(message, recipients)
