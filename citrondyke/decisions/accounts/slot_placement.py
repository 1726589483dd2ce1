"""Which instances keep an account's count: the same ones wherever it is asked for."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import content_bucket, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.ids import InstanceId, TenantId

__all__ = ('SLOTS_COUNT', 'SlotPlacement', 'slot_of')

#: Accounts share leases by slot, so that their number costs no messages.
SLOTS_COUNT = 16
#: Instances that may keep a slot: with one of them gone the other two agree on the next.
REPLICAS_COUNT = 3


def slot_of(account: TenantId) -> int:
    """Give an account's slot."""
    return content_bucket(account.encode()) % SLOTS_COUNT


class SlotPlacement:
    """Keepers of each slot by rendezvous among the instances that are known."""

    def __init__(self, members: Callable[[], tuple[InstanceId, ...]]) -> None:
        """Use a view of the fleet.

        :param members: gives all known instances, this one included; none while that is not known.
        """
        self._members = members
        self._seen: tuple[InstanceId, ...] = ()
        self._replicas: dict[int, list[InstanceId]] = {}

    def replicas(self, slot: int) -> list[InstanceId]:
        """List who may keep a slot, the first one first."""
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
