"""Which of an instance's counts its peers are told, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.server_book import server_digest

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_book import ServerBook
    from citrondyke.ids import InstanceId, ServerId

__all__ = ('LoadNotices', 'ServerLoad', 'notice_gap_ms')

#: Datagrams that an instance sends in a second at most: with n peers a change waits n ms at the
#: longest, 12 ms at 13 instances.
DATAGRAMS_PER_S = 1_000.0
#: Counts that are not zero are told again, since datagrams get lost and counts lapse.
RENEW_MS = 500.0


def notice_gap_ms(peers_count: int) -> float:
    """Give the time between two notices of one instance."""
    return peers_count * 1e3 / DATAGRAMS_PER_S


class ServerLoad(msgspec.Struct, frozen=True):
    """What the sender has on one server."""

    server: int
    online: int
    batch: int


class LoadNotices:
    """Tells peers what changed, a bounded number of times a second."""

    def __init__(self, context: Context, book: ServerBook) -> None:
        """Start having told nothing."""
        self._context = context
        self._book = book
        self._told: dict[ServerId, tuple[int, int]] = {}
        self._renewed_ms = 0.0
        self._sent_ms = float('-inf')

    def next_pause_ms(self, peers_count: int) -> float:
        """Give the time until the next notice may go out."""
        return max(0.0, self._sent_ms + notice_gap_ms(peers_count) - self._context.now_ms())

    def take(self) -> list[ServerLoad]:
        """Give what peers are to be told now; nothing when nothing changed."""
        now_ms = self._context.now_ms()
        is_renewal = now_ms - self._renewed_ms >= RENEW_MS
        if is_renewal:
            self._renewed_ms = now_ms
        loads = []
        listed = set()
        for state in self._book.states():
            server_id = state.listed.id
            listed.add(server_id)
            counts = (state.own.online, state.own.batch)
            told = self._told.get(server_id, (0, 0))
            if counts != told or (is_renewal and counts != (0, 0)):
                self._told[server_id] = counts
                loads.append(ServerLoad(server_digest(server_id), *counts))
        for server_id in [each for each in self._told if each not in listed]:
            del self._told[server_id]
        if loads:
            self._sent_ms = now_ms
        return loads

    def note(self, peer: InstanceId, loads: list[ServerLoad]) -> None:
        """Take in what a peer has on servers."""
        now_ms = self._context.now_ms()
        for load in loads:
            state = self._book.by_digest(load.server)
            if state is not None:
                state.note_peer(peer, load.online, load.batch, now_ms)
