"""Interface of the table service, which has conditional transactions on rows."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from citrondyke.ids import RowKey, WriteId
from citrondyke.storage.failure import PlatformFailure

__all__ = ('Check', 'Committed', 'Conflict', 'Row', 'TableService', 'Transaction', 'Write')


class Row(msgspec.Struct, frozen=True):
    """The current state of a row."""

    key: RowKey
    #: Increases with each write to the table and is never reused.
    version: int
    #: The transaction that last wrote the row.
    write_id: WriteId
    value: msgspec.Raw


class Check(msgspec.Struct, frozen=True):
    """The version that a row must have; ``None`` if the row must not exist."""

    key: RowKey
    version: int | None


class Write(msgspec.Struct, frozen=True):
    """A row to write, or to delete if its value is ``null``."""

    key: RowKey
    value: msgspec.Raw

    @property
    def is_delete(self) -> bool:
        """Return whether the row is to be deleted."""
        return bytes(self.value) == b'null'


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied together if all checks pass."""

    write_id: WriteId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Committed(msgspec.Struct, frozen=True):
    """The transaction was committed."""

    #: Version of all rows that were written.
    version: int


class Conflict(msgspec.Struct, frozen=True):
    """A check failed; nothing was written."""

    #: Current rows that failed a check, except those that do not exist.
    rows: dict[RowKey, Row]
    #: Keys of the failed checks.
    broken: tuple[RowKey, ...]


class TableService(ABC):
    """A client for the table service; each call has its own timeout."""

    @abstractmethod
    def transact(self, transaction: Transaction) -> Committed | Conflict | PlatformFailure:
        """Attempt a transaction once."""

    @abstractmethod
    def read(self, keys: Sequence[RowKey]) -> dict[RowKey, Row] | PlatformFailure:
        """Read rows; omit those that do not exist."""

    @abstractmethod
    def scan(self, prefix: str, after: str, limit: int) -> list[Row] | PlatformFailure:
        """Read rows in key order.

        :param after: only keys after this one are read.
        :param limit: maximum number of rows.
        """
