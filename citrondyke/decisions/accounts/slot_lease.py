"""The lease of a slot: one instance at a time counts its accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.limit_messages import Addressed, LeaseAnswered, LeaseAsked
from citrondyke.ids import InstanceId

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.slots import Slots
    from citrondyke.decisions.core.context import Context

__all__ = ('LEASE_MS', 'RENEW_MS', 'SlotLease')

#: Time for which a lease holds from when it was asked for. Three renewals, so that two lost
#: datagrams cost nothing; an account waits so long for the next steward.
LEASE_MS = 900.0
RENEW_MS = 300.0
#: A witness keeps its word longer than the lease holds: clocks run apart by less.
PROMISE_MS = 1_000.0
#: Silence of the keepers before it after which one asks for the lease itself.
TAKEOVER_MS = 1_100.0


class SlotLease:
    """Holder, candidate and witness of one slot, by the clock that runs on in a suspended machine.

    Two instances that both count an account let through twice its limit. A lease needs the word of
    two of the slot's three keepers, and a keeper gives its word to one at a time. Where views of
    the fleet differ, two sets of keepers may have no such two in common; so a single refusal keeps
    a newcomer waiting until the refuser's word is over.
    """

    def __init__(self, context: Context, slots: Slots, slot: int) -> None:
        """Promise nothing for a while: the life before may have given its word."""
        self._context = context
        self._slots = slots
        self._slot = slot
        now_ms = self._now_ms()
        self._promised_to = InstanceId('')
        self._promised_until_ms = now_ms + PROMISE_MS
        #: When each keeper last asked for the lease, itself left out.
        self._asked_ms: dict[InstanceId, float] = {}
        self._began_ms = now_ms
        self._held_until_ms = float('-inf')
        self._refused_until_ms = float('-inf')
        self._numbers: dict[int, float] = {}
        self._next_number = 0
        #: Since when it has been held without a break.
        self.held_since_ms = float('-inf')

    @property
    def is_held(self) -> bool:
        """Tell whether this instance counts the slot's accounts now."""
        return self._now_ms() < self._held_until_ms

    def tick(self) -> list[Addressed]:
        """Ask for the lease where it is this instance's turn."""
        keepers = self._slots.keepers(self._slot)
        own_id = self._context.instance_id
        if own_id not in keepers or not self._is_turn(keepers.index(own_id), keepers):
            return []
        now_ms = self._now_ms()
        if not self._promise(own_id):
            return []
        if len(keepers) == 1:
            self._hold(now_ms)
            return []
        self._next_number += 1
        self._numbers[self._next_number] = now_ms
        for number in [n for n, at_ms in self._numbers.items() if at_ms < now_ms - LEASE_MS]:
            del self._numbers[number]
        asked = LeaseAsked(self._slot, self._next_number)
        return [Addressed(keeper, asked) for keeper in keepers if keeper != own_id]

    def take_asked(self, sender: InstanceId, asked: LeaseAsked) -> list[Addressed]:
        """Answer as a witness."""
        keepers = self._slots.keepers(self._slot)
        self._asked_ms[sender] = self._now_ms()
        is_known = sender in keepers and self._context.instance_id in keepers
        is_granted = is_known and not self.is_held and self._promise(sender)
        return [Addressed(sender, LeaseAnswered(self._slot, asked.number, is_granted))]

    def take_answered(self, sender: InstanceId, answered: LeaseAnswered) -> None:
        """Take a witness's word in."""
        asked_ms = self._numbers.get(answered.number)
        if asked_ms is None or sender not in self._slots.keepers(self._slot):
            return
        if not answered.is_granted:
            self._refused_until_ms = self._now_ms() + RENEW_MS
        elif self.is_held or self._now_ms() >= self._refused_until_ms:
            self._hold(asked_ms)

    def _is_turn(self, rank: int, keepers: list[InstanceId]) -> bool:
        """Tell whether all keepers before this one are silent; the holder gives way to them."""
        now_ms = self._now_ms()
        return all(
            now_ms - self._asked_ms.get(keeper, self._began_ms) > TAKEOVER_MS * (place + 1)
            for place, keeper in enumerate(reversed(keepers[:rank]))
        )

    def _promise(self, candidate: InstanceId) -> bool:
        now_ms = self._now_ms()
        if self._promised_to != candidate and now_ms < self._promised_until_ms:
            return False
        self._promised_to = candidate
        self._promised_until_ms = now_ms + PROMISE_MS
        return True

    def _hold(self, asked_ms: float) -> None:
        if not self.is_held:
            self.held_since_ms = self._now_ms()
        self._held_until_ms = max(self._held_until_ms, asked_ms + LEASE_MS)

    def _now_ms(self) -> float:
        return self._context.clock.fence_ms()
