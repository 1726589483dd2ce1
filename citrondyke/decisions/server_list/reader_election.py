"""Which instances read the server list for their availability zone, and when that is worthwhile."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('ReaderElection',)

#: Both readers publish the same list, so that the loss of one leaves no gap.
READERS_COUNT = 2
#: In a smaller zone, readers would save next to nothing.
MIN_ZONE_SIZE = 5
#: Bytes of one full read of the list by all instances from which on only readers read it. Below
#: this, the reads of all instances are a small part of a second of the link to the store, and every
#: instance reads on its own.
WORTHWHILE_BYTES = 16_000_000
#: Part of this limit below which all instances read again.
STOP_SHARE = 0.5


class ReaderElection:
    """Elect readers at each instance from the instances that it knows.

    Two instances that know different ones may both act as readers, or neither may. Additional
    readers cost bytes; without a reader, an instance reads the list itself.
    """

    def __init__(self, context: Context) -> None:
        """Start with all instances reading."""
        self._context = context
        self._is_worthwhile = False

    def is_worthwhile(self, list_bytes: int, instances_count: int) -> bool:
        """Return whether a few instances should read for the others.

        :param list_bytes: size of the values of the whole list.
        """
        all_bytes = list_bytes * instances_count
        limit = WORTHWHILE_BYTES * (STOP_SHARE if self._is_worthwhile else 1.0)
        self._is_worthwhile = all_bytes >= limit
        return self._is_worthwhile

    def elect_readers(self, zone_members: Iterable[InstanceId]) -> list[InstanceId]:
        """Choose the readers among the live instances of the local zone, by rank.

        :returns: an empty list if the zone is too small.
        """
        members = list(zone_members)
        if len(members) < MIN_ZONE_SIZE:
            return []
        seed = f'list {self._context.zone}'
        return nlargest(READERS_COUNT, members, key=lambda each: rendezvous_weight(each, seed))
