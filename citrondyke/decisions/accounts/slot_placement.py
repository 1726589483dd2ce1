"""Placement of account slots: every instance computes the same replicas for a slot."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import content_hash, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.ids import InstanceId, TenantId

__all__ = ('SLOTS_COUNT', 'SlotPlacement', 'slot_of')

#: Accounts share the lease of their slot, so lease traffic doesn't grow with their number.
SLOTS_COUNT = 16
#: Replicas of a slot: when one of them is dead, the other two elect the next steward.
REPLICAS_COUNT = 3


def slot_of(account: TenantId) -> int:
    """Return the slot of an account."""
    return content_hash(account.encode()) % SLOTS_COUNT


class SlotPlacement:
    """Assigns replicas to slots by rendezvous hashing over the known instances."""

    def __init__(self, members: Callable[[], tuple[InstanceId, ...]]) -> None:
        """Initialize the placement.

        :param members: returns all known instances including this one; empty while unknown.
        """
        self._members = members
        self._seen: tuple[InstanceId, ...] = ()
        self._replicas: dict[int, list[InstanceId]] = {}

    def replicas(self, slot: int) -> list[InstanceId]:
        """Return the replicas of a slot, the preferred steward first."""
        members = self._members()
        if members is not self._seen and members != self._seen:
            self._replicas.clear()
        self._seen = members
        found = self._replicas.get(slot)
        if found is None:
            found = nlargest(
                REPLICAS_COUNT, members, key=lambda each: rendezvous_weight(each, f'limit {slot}')
            )
            self._replicas[slot] = found
        return found
