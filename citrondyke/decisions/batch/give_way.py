"""When batch items start, and which of them stop when online requests need their places."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from citrondyke.decisions.batch.start_pace import StartPace
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_book import ServerBook
    from citrondyke.ids import InstanceId, ServerLife, ServiceName

__all__ = ('GiveWay', 'RunningItem', 'Urgency', 'urgency')

#: Places on each server that batch items leave free, so that most online requests find one
#: without an item being cut.
FREE_PLACES = 1
#: An item that must run from now on, with no more than this to spare, is at risk: a cut costs it
#: its due time, while a request that waits for a place is still within its target.
AT_RISK_MS = 1_500.0
#: Errors of the estimate of what is left: later than this an item is late whatever is done.
LATE_MS = -300.0
#: Servers of the own availability zone are so much likelier: bytes between zones cost money.
OWN_ZONE_FACTOR = 2.0


class Urgency(Enum):
    """How an item stands to its due time."""

    #: It will be late; it takes no place that anything else needs.
    LATE = 'late'
    #: It can wait.
    PATIENT = 'patient'
    #: It is done in time only if it runs from now on.
    AT_RISK = 'at_risk'


def urgency(due_epoch_ms: float, epoch_ms: float, remaining_ms: float) -> Urgency:
    """Tell how an item stands.

    :param remaining_ms: time that it still runs.
    """
    spare_ms = due_epoch_ms - epoch_ms - remaining_ms
    if spare_ms < LATE_MS:
        return Urgency.LATE
    return Urgency.AT_RISK if spare_ms <= AT_RISK_MS else Urgency.PATIENT


class RunningItem(msgspec.Struct, frozen=True):
    """A batch item on a server; the number is its owner's."""

    number: int
    life: ServerLife
    started_ms: float
    urgency: Urgency


class _Room(msgspec.Struct, frozen=True):
    state: ServerState
    free: int


class GiveWay:
    """Fills the places that online requests leave, and clears them again.

    Batch items give way at once while their due time bears it. Those at risk may keep a quarter
    of each server's places: with none kept, items of a service that is short of servers were late
    one and all although each of them had given way for nothing.
    """

    def __init__(self, context: Context, book: ServerBook, pace: StartPace) -> None:
        """Use what is known of the servers."""
        self._context = context
        self._book = book
        self._pace = pace
        self._cut_ms: dict[ServerLife, float] = {}

    @property
    def is_in_large_fleet(self) -> bool:
        """Tell whether the fleet is so large that processor time counts for more than places."""
        return self._book.neighbours.is_zoned

    def choose(self, service: ServiceName, urgency_now: Urgency) -> ServerState | None:
        """Choose the server for an item; ``None`` while all places are needed.

        In a large fleet servers of the own zone come first: an online request that comes to
        another one hears of the item's owner late.
        """
        now_ms = self._context.now_ms()
        rooms = [
            _Room(state, free)
            for state in self._book.usable(service)
            if (free := self._free(state, urgency_now, now_ms)) >= 1
        ]
        near = [room for room in rooms if room.state.listed.zone == self._context.zone]
        if not self._book.neighbours.is_zoned:
            near = rooms
        chosen = near or rooms
        free_count = sum(room.free for room in chosen)
        if not chosen or not self._pace.take(service, free_count, is_far=not near):
            return None
        # By chance, the emptier the likelier: the emptiest one looks so to all at once.
        weights = [
            room.free**2
            * (OWN_ZONE_FACTOR if room.state.listed.zone == self._context.zone else 1.0)
            for room in chosen
        ]
        return self._context.random.choices(chosen, weights)[0].state

    def to_cut(self, running: Iterable[RunningItem]) -> list[RunningItem]:
        """Choose the items that stop now, the youngest first.

        The owners of items on a crowded server cut in an order that all of them know, each what
        those before it do not cover: if all cut all of it, most of the work would be put off for
        nothing, and if each cut a part by chance, online requests would wait for who does.
        """
        now_ms = self._context.now_ms()
        by_server: dict[ServerLife, list[RunningItem]] = {}
        for item in running:
            by_server.setdefault(item.life, []).append(item)
        chosen = []
        for life, items in by_server.items():
            state = self._book.of_life(life)
            if state is not None:
                chosen.extend(self._cut_at(state, items, now_ms))
        return chosen

    def _cut_at(
        self, state: ServerState, items: list[RunningItem], now_ms: float
    ) -> list[RunningItem]:
        # What the other owners cut is not known yet; cutting again before would be too much.
        if now_ms - self._cut_ms.get(state.life, float('-inf')) < self._pace.gap_ms:
            return []
        count = self._count_to_cut(state, len(items), now_ms)
        if not count:
            return []
        self._cut_ms[state.life] = now_ms
        order = [Urgency.LATE, Urgency.PATIENT, Urgency.AT_RISK]
        items.sort(key=lambda item: (order.index(item.urgency), -item.started_ms))
        cut = items[:count]
        batch_left = state.batch_count(now_ms) - len(cut)
        while cut and cut[-1].urgency is Urgency.AT_RISK and batch_left < state.held_limit:
            cut.pop()
            batch_left += 1
        return cut

    def _count_to_cut(self, state: ServerState, own_count: int, now_ms: float) -> int:
        online = state.online_count(now_ms)
        batch = state.batch_count(now_ms)
        excess = min(batch, online + batch - state.listed.slots_count)
        if excess <= 0 or not online:
            return 0
        own_rank = self._rank(self._context.instance_id, state)
        before = sum(
            count
            for peer, count in state.batch_by_peer(now_ms).items()
            if self._rank(peer, state) > own_rank
        )
        return min(own_count, max(0, excess - before))

    @staticmethod
    def _free(state: ServerState, urgency_now: Urgency, now_ms: float) -> int:
        """Count the places of a server that an item may take."""
        if state.ejected_until_ms > now_ms:
            return 0
        free = state.listed.slots_count - FREE_PLACES - state.total_count(now_ms)
        if free < 1 and urgency_now is Urgency.AT_RISK and _may_hold(state, now_ms):
            return 1
        return free

    @staticmethod
    def _rank(instance_id: InstanceId, state: ServerState) -> int:
        return rendezvous_weight(instance_id, state.listed.id)


def _may_hold(state: ServerState, now_ms: float) -> bool:
    """Tell whether an item at risk may take a place where online requests wait for none yet."""
    if state.batch_count(now_ms) >= state.held_limit:
        return False
    return state.total_count(now_ms) <= state.listed.slots_count
