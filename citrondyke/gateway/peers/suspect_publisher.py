"""Tells peers of requests under which servers end: few of one end, everybody of more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
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
    from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.decisions.forwarding.peer_topology import PeerTopology
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.ids import InstanceId

__all__ = ('SuspectPublisher',)


class SuspectPublisher:
    """Sends news of suspects, a bounded number of messages a second."""

    def __init__(self, context: Context, topology: PeerTopology, suspects: SuspectRegistry) -> None:
        """Start with nothing to tell."""
        self._topology = topology
        self._suspects = suspects
        self._queue = SuspectUpdateQueue(context)
        self._has_updates = Event()

    def start(self, tasks: Tasks, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        """Begin to tell.

        :param send: sends a datagram to some peers.
        """
        tasks.supervise(lambda: self._run(send))

    def is_known_to_all(self, content: RequestFingerprint) -> bool:
        """Tell whether all instances are told of a suspect.

        In a large fleet one end is told to those only who collect what is seen of it. Eight
        requests are on a server that ends, nearly all of them innocent: told to 195 instances
        three times over, and taken back after the next answer, they are 9,000 datagrams.
        """
        is_grave = self._suspects.score(content) >= STORED_SCORE
        return is_grave or not self._topology.is_zoned

    def notify_end(self, server: int, content: RequestFingerprint, *, is_fresh: bool) -> None:
        """Have peers told of a server's end under a request."""
        kind = SuspectUpdateKind.FRESH if is_fresh else SuspectUpdateKind.BEGUN
        self._add(server, SuspectNews(content, kind), is_broadcast=self.is_known_to_all(content))

    def notify_survived(self, content: RequestFingerprint, *, is_broadcast: bool) -> None:
        """Have peers told of a whole answer.

        :param is_broadcast: whether all knew of the suspect before.
        """
        self._add(0, SuspectNews(content, SuspectUpdateKind.SURVIVED), is_broadcast=is_broadcast)

    def notify_all_ends(self, content: RequestFingerprint) -> None:
        """Have everybody told all that is known of a suspect; each who collects does so once."""
        row = self._suspects.row(content)
        if row is None:
            return
        score = self._suspects.score(content)
        for server, weight in row.lives.items():
            kind = SuspectUpdateKind.FRESH if weight >= FRESH_WEIGHT else SuspectUpdateKind.BEGUN
            self._queue.enqueue(server, SuspectNews(content, kind), score, sends_count=1)
        self._has_updates.set()

    def next_pause_ms(self) -> float | None:
        """Give the time until something is to be told; ``None`` while there is nothing."""
        return self._queue.next_pause_ms()

    def take_due(self) -> list[tuple[CrashNews, list[InstanceId]]]:
        """Give the messages that are due, each with who gets it."""
        message = self._queue.take_due()
        if message is None:
            return []
        if message.is_broadcast:
            return [(CrashNews(message.server, message.news), self._topology.all_peers())]
        by_receiver: dict[InstanceId, list[SuspectNews]] = {}
        for news in message.news:
            for receiver in self._topology.registrars(news.content.digest):
                by_receiver.setdefault(receiver, []).append(news)
        return [
            (CrashNews(message.server, found), [receiver])
            for receiver, found in by_receiver.items()
        ]

    def _add(self, server: int, news: SuspectNews, *, is_broadcast: bool) -> None:
        self._queue.enqueue(
            server, news, self._suspects.score(news.content), is_broadcast=is_broadcast
        )
        self._has_updates.set()

    def _run(self, send: Callable[[PeerText, list[InstanceId]], None]) -> None:
        while True:
            pause_ms = self.next_pause_ms()
            if pause_ms is None:
                self._has_updates.clear()
                self._has_updates.wait()
                continue
            gevent.sleep(pause_ms / 1e3)
            for news, receivers in self.take_due():
                send(news, receivers)
