"""In-memory rows of the store stand-in, with parts, conditional writes and a change feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from citrondyke.storage.failure import HISTORY_LOST, PlatformFailure
from citrondyke.storage.partitioned_table import (
    ChangeBatch,
    Listing,
    PartCommitted,
    PartConflict,
    PartitionedTable,
    PartRow,
    PartTransaction,
)
from citrondyke.util.clock import SystemClock

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('PartTable',)

MAX_PARTS_PER_PAGE = 1_000


class PartTable(PartitionedTable):
    """In-memory rows that are changed by conditional transactions within one part."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Create an empty table.

        :param clock: the store's clock; by default the system's.
        """
        self._clock = clock or SystemClock()
        self.version = 0
        self._rows: SortedDict = SortedDict()
        self._history: list[PartRow] = []
        self._history_start_version = 0

    @property
    def now_ms(self) -> float:
        """Return the store's time."""
        return self._clock.now_ms()

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        """Apply all writes if all conditions hold, otherwise none."""
        part = transaction.part
        expected = [(each.table, part, each.key) for each in transaction.conditions]
        present = tuple(self._rows[row_key] for row_key in expected if row_key in self._rows)
        for condition, row_key in zip(transaction.conditions, expected, strict=True):
            row = self._rows.get(row_key)
            if (0 if row is None else row.version) != condition.version:
                return PartConflict(present, self.version)
        self.version += 1
        for put in transaction.puts:
            self._write(PartRow(put.table, part, put.key, self.version, put.value))
        for removal in transaction.removals:
            self._write(PartRow(removal.table, part, removal.key, self.version, None))
        return PartCommitted(self.version)

    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read the rows of a part, starting at a key."""
        rows = []
        for row_key in self._rows.irange(minimum=(table, part, from_key)):
            if row_key[:2] != (table, part):
                break
            rows.append(self._rows[row_key])
        return Listing(tuple(rows[:limit]), len(rows) > limit, self.version, self.now_ms)

    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List the parts after a given one."""
        parts = {row_key[1] for row_key in self._rows if row_key[0] == table and row_key[1] > after}
        return sorted(parts)[:MAX_PARTS_PER_PAGE]

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Return the changes of a table after a version without waiting for new ones.

        :param wait_ms: ignored; waiting is left to the caller.
        """
        if after_version < self._history_start_version:
            return HISTORY_LOST
        rows = [row for row in self._history if row.table == table and row.version > after_version]
        return ChangeBatch(tuple(rows), self.version)

    def forget_history(self) -> None:
        """Drop the whole change history."""
        self._history = []
        self._history_start_version = self.version

    def _write(self, row: PartRow) -> None:
        self._history.append(row)
        row_key = (row.table, row.part, row.key)
        if row.value is None:
            self._rows.pop(row_key, None)
        else:
            self._rows[row_key] = row
