"""When batch items start, and which of them stop when online requests need their places."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_book import ServerBook
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.ids import ServerId, ServiceName

__all__ = ('GiveWay', 'RunningItem')

#: Places on each server that batch items leave free, so that most online requests find one
#: without an item being cut.
FREE_PLACES = 1
#: An item whose job is due sooner than this is not cut: its run would end too late elsewhere,
#: while an online request that waits for a place is still within its target.
URGENT_MS = 2_500.0


class RunningItem(msgspec.Struct, frozen=True, eq=False):
    """A batch item on a server."""

    server_id: ServerId
    started_ms: float
    due_epoch_ms: float


class GiveWay:
    """Fills the places that online requests leave, and clears them again."""

    def __init__(self, context: Context, book: ServerBook) -> None:
        """Use what is known of the servers."""
        self._context = context
        self._book = book

    def choose(self, service: ServiceName) -> ServerState | None:
        """Choose the server for an item; ``None`` while all places are needed."""
        now_ms = self._context.now_ms()
        best = None
        best_room = 0.0
        for state in self._book.usable(service):
            free = state.listed.slots_count - FREE_PLACES - state.total_count(now_ms)
            if free < 1 or state.ejected_until_ms > now_ms:
                continue
            room = free + 0.5 * (state.listed.zone == self._context.zone)
            room += 0.1 * self._context.random.random()
            if room > best_room:
                best, best_room = state, room
        return best

    def to_cut(self, running: Iterable[RunningItem]) -> list[RunningItem]:
        """Choose the items that stop now, the youngest first.

        Each owner of items on a crowded server cuts its part of what is too much there: if all
        cut all of it, most of the work would be put off for nothing.
        """
        now_ms = self._context.now_ms()
        epoch_ms = self._context.epoch_ms()
        by_server: dict[ServerId, list[RunningItem]] = {}
        for item in running:
            by_server.setdefault(item.server_id, []).append(item)
        chosen = []
        for server_id, items in by_server.items():
            state = self._book.state(server_id)
            if state is None:
                continue
            count = self._count_to_cut(state, len(items), now_ms)
            items.sort(key=lambda item: item.started_ms, reverse=True)
            patient = [item for item in items if item.due_epoch_ms - epoch_ms > URGENT_MS]
            chosen.extend(patient[:count])
        return chosen

    def _count_to_cut(self, state: ServerState, own_count: int, now_ms: float) -> int:
        online = state.online_count(now_ms)
        batch = state.batch_count(now_ms)
        excess = min(batch, online + batch - state.listed.slots_count)
        if excess <= 0 or not online:
            return 0
        part = excess * own_count / max(batch, own_count)
        whole = int(part)
        return whole + (self._context.random.random() < part - whole)
