"""In-memory rows of the table service stand-in."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from citrondyke.storage.table_service import Committed, Conflict, Row

if TYPE_CHECKING:
    from citrondyke.ids import RowKey
    from citrondyke.storage.table_service import Transaction

__all__ = ('Table',)


class Table:
    """Rows in key order, which are changed by conditional transactions."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._rows: SortedDict = SortedDict()
        self._version = 0
        self.transactions_count = 0
        self.conflicts_count = 0
        self.reads_count = 0
        self.scans_count = 0
        self.rows_read_count = 0

    def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes if all checks hold, otherwise none."""
        self.transactions_count += 1
        failed_keys = tuple(
            check.key
            for check in transaction.checks
            if self._version_of(check.key) != check.version
        )
        if failed_keys:
            self.conflicts_count += 1
            present = [self._rows[key] for key in failed_keys if key in self._rows]
            return Conflict({row.key: row for row in present}, failed_keys)
        self._version += 1
        for write in transaction.writes:
            if write.is_delete:
                self._rows.pop(write.key, None)
                continue
            self._rows[write.key] = Row(write.key, self._version, transaction.write_id, write.value)
        return Committed(self._version)

    def read(self, keys: Sequence[RowKey]) -> list[Row]:
        """Read rows by key, leaving out missing ones."""
        self.reads_count += 1
        rows = [self._rows[key] for key in keys if key in self._rows]
        self.rows_read_count += len(rows)
        return rows

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows with a key prefix in key order, starting after a key."""
        self.scans_count += 1
        found: list[Row] = []
        start = max(prefix, after)
        for key in self._rows.irange(minimum=start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            found.append(self._rows[key])
        self.rows_read_count += len(found)
        return found

    def _version_of(self, key: RowKey) -> int | None:
        row = self._rows.get(key)
        return None if row is None else row.version
