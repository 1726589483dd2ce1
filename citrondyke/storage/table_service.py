"""The table service: rows under conditional transactions."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from citrondyke.ids import RowKey, WriteId
from citrondyke.storage.failure import PlatformFailure

__all__ = ('Check', 'Committed', 'Conflict', 'Row', 'TableService', 'Transaction', 'Write')


class Row(msgspec.Struct, frozen=True):
    """One row as it stands."""

    key: RowKey
    #: Grows with every write of the whole table and is never used again.
    version: int
    #: The transaction that wrote the row last.
    write_id: WriteId
    value: msgspec.Raw


class Check(msgspec.Struct, frozen=True):
    """A condition on one row: its version, or ``None`` for no such row."""

    key: RowKey
    version: int | None


class Write(msgspec.Struct, frozen=True):
    """A row to write, or with ``null`` as its value to delete."""

    key: RowKey
    value: msgspec.Raw

    @property
    def is_delete(self) -> bool:
        """Tell whether the row is to go."""
        return bytes(self.value) == b'null'


class Transaction(msgspec.Struct, frozen=True):
    """All the writes if all the checks hold, else nothing."""

    write_id: WriteId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Committed(msgspec.Struct, frozen=True):
    """The transaction took effect."""

    #: The version of every row that was written.
    version: int


class Conflict(msgspec.Struct, frozen=True):
    """A check did not hold; nothing was written."""

    #: The rows that broke a check, as they stand; a missing row is left out.
    rows: dict[RowKey, Row]
    #: The checks that did not hold.
    broken: tuple[RowKey, ...]


class TableService(ABC):
    """A client of the table service; every call has its own timeout."""

    @abstractmethod
    def transact(self, transaction: Transaction) -> Committed | Conflict | PlatformFailure:
        """Try one transaction, once."""

    @abstractmethod
    def read(self, keys: Sequence[RowKey]) -> dict[RowKey, Row] | PlatformFailure:
        """Read rows; missing ones are left out."""

    @abstractmethod
    def scan(self, prefix: str, after: str, limit: int) -> list[Row] | PlatformFailure:
        """Read rows in key order.

        :param after: keys up to and with this one are passed over.
        :param limit: rows at the most.
        """
