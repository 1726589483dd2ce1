"""The rows of the store's stand-in: parts, conditions, a feed with a bounded history."""

from __future__ import annotations

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

__all__ = ('PartTable',)

MAX_PARTS_PER_PAGE = 1_000


class PartTable(PartitionedTable):
    """Rows changed by conditional transactions within one part, all in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self._rows: SortedDict = SortedDict()
        self._history: list[PartRow] = []
        self._history_start_version = 0

    def transact(self, transaction: PartTransaction) -> PartCommitted | PartConflict:
        """Write all or nothing."""
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
        """Read rows of a part from a key on."""
        rows = []
        for row_key in self._rows.irange(minimum=(table, part, from_key)):
            if row_key[:2] != (table, part):
                break
            rows.append(self._rows[row_key])
        return Listing(tuple(rows[:limit]), len(rows) > limit, self.version)

    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List parts behind one."""
        parts = {row_key[1] for row_key in self._rows if row_key[0] == table and row_key[1] > after}
        return sorted(parts)[:MAX_PARTS_PER_PAGE]

    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Give the changes of a table behind a version; the caller does the waiting."""
        if after_version < self._history_start_version:
            return HISTORY_LOST
        rows = [row for row in self._history if row.table == table and row.version > after_version]
        return ChangeBatch(tuple(rows), self.version)

    def forget_history(self) -> None:
        """Drop all of the history."""
        self._history = []
        self._history_start_version = self.version

    def _write(self, row: PartRow) -> None:
        self._history.append(row)
        row_key = (row.table, row.part, row.key)
        if row.value is None:
            self._rows.pop(row_key, None)
        else:
            self._rows[row_key] = row
