"""Which instances read the list of servers for their availability zone, and when that pays."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from citrondyke.util.hashing import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import InstanceId

__all__ = ('ReaderElection',)

#: The second one tells the same, so that the loss of one is no gap.
READERS_COUNT = 2
#: With fewer instances in a zone its readers would save next to nothing.
MIN_ZONE_SIZE = 5
#: Bytes of one whole read of the list by all instances from which on few read it. Below, all of
#: them together are a small part of a second of the store's link, and each is on its own.
WORTHWHILE_BYTES = 16_000_000
#: Part of it below which all read again.
STOP_SHARE = 0.5


class ReaderElection:
    """Decided by each instance for itself, from what it knows of the others.

    Two that know different instances may both take themselves for readers, or both for none. More
    readers cost bytes; without one, an instance reads for itself.
    """

    def __init__(self, context: Context) -> None:
        """Start with everybody reading."""
        self._context = context
        self._is_worthwhile = False

    def is_worthwhile(self, list_bytes: int, instances_count: int) -> bool:
        """Tell whether few read for the others.

        :param list_bytes: of the values of the whole list.
        """
        all_bytes = list_bytes * instances_count
        limit = WORTHWHILE_BYTES * (STOP_SHARE if self._is_worthwhile else 1.0)
        self._is_worthwhile = all_bytes >= limit
        return self._is_worthwhile

    def elect_readers(self, zone_members: Iterable[InstanceId]) -> list[InstanceId]:
        """Choose the readers among the live instances of the own zone, the first one first.

        :returns: none where the zone is too small.
        """
        members = list(zone_members)
        if len(members) < MIN_ZONE_SIZE:
            return []
        seed = f'list {self._context.zone}'
        return nlargest(READERS_COUNT, members, key=lambda each: rendezvous_weight(each, seed))
