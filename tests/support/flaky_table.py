"""A table whose replies get lost and whose writes may come late, as a test decides."""

from __future__ import annotations

from enum import Enum

from citrondyke.ids import ObjectKey
from citrondyke.standin.part_table import PartTable
from citrondyke.storage.failure import AMBIGUOUS, MISSING, UNAVAILABLE, PlatformFailure
from citrondyke.storage.object_store import ObjectStore
from citrondyke.storage.partitioned_table import (
    Listing,
    PartCommitted,
    PartConflict,
    PartTransaction,
)

__all__ = ('CountingTable', 'FlakyTable', 'MemoryObjects', 'Trouble')


class Trouble(Enum):
    """What happens to the next transaction."""

    NONE = 'none'
    #: It is refused and does nothing.
    REFUSED = 'refused'
    #: It takes effect and its reply is lost.
    REPLY_LOST = 'reply_lost'
    #: Its reply is lost and it takes effect later, if its conditions still hold.
    LATE = 'late'
    #: It arrives twice, and the second one's reply comes back.
    TWICE = 'twice'


class FlakyTable(PartTable):
    """Does to each transaction what it was told."""

    def __init__(self) -> None:
        super().__init__()
        self.trouble = Trouble.NONE
        self.late: list[PartTransaction] = []

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        trouble, self.trouble = self.trouble, Trouble.NONE
        if trouble is Trouble.REFUSED:
            return UNAVAILABLE  # type: ignore[return-value]
        if trouble is Trouble.LATE:
            self.late.append(transaction)
            return AMBIGUOUS  # type: ignore[return-value]
        answer = super().transact(transaction)
        if trouble is Trouble.TWICE:
            return super().transact(transaction)
        if trouble is Trouble.REPLY_LOST:
            return AMBIGUOUS  # type: ignore[return-value]
        return answer

    def apply_late(self) -> None:
        """Let what is on its way arrive."""
        late, self.late = self.late, []
        for transaction in late:
            super().transact(transaction)


class MemoryObjects(ObjectStore):
    """Objects in memory."""

    def __init__(self) -> None:
        self.objects: dict[ObjectKey, bytes] = {}

    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        self.objects[key] = body
        return None

    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        return self.objects.get(key, MISSING)

    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        self.objects.pop(key, None)
        return None

    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        return sorted(key for key in self.objects if key.startswith(prefix))


class CountingTable(FlakyTable):
    """Counts transactions, and shows reads from before the last ones where it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions_count = 0
        self.stale: Listing | None = None
        self.call_ms = 0.0

    @property
    def mean_latency_ms(self) -> float:
        return self.call_ms

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        self.transactions_count += 1
        return super().transact(transaction)

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        return self.stale or super().read(table, part, from_key, limit)
