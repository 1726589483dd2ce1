"""Tables cut into parts: conditional transactions within one part, and a feed of changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec

from citrondyke.storage.failure import PlatformFailure

__all__ = (
    'IMPOSSIBLE_VERSION',
    'ChangeBatch',
    'Listing',
    'PartCommitted',
    'PartConflict',
    'PartRow',
    'PartTransaction',
    'PartitionedTable',
    'RowCondition',
    'RowPut',
    'RowRemoval',
)

#: Parts in one answer of the store; fewer say that there are no more.
PARTS_PAGE = 1_000
#: A version that no row ever has: the conflict that it brings is a read that is never stale.
IMPOSSIBLE_VERSION = 2**53


class PartRow(msgspec.Struct, frozen=True):
    """One row as it stands; in a feed, ``None`` as its value says that it was deleted."""

    table: str
    part: str
    key: str
    #: Grows with every transaction of the whole store.
    version: int
    value: bytes | None


class RowCondition(msgspec.Struct, frozen=True):
    """A row's version that a transaction needs; 0 for no such row."""

    table: str
    key: str
    version: int


class RowPut(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class RowRemoval(msgspec.Struct, frozen=True):
    """A row to delete."""

    table: str
    key: str


class PartTransaction(msgspec.Struct, frozen=True):
    """All of it or nothing, within one part."""

    part: str
    conditions: tuple[RowCondition, ...] = ()
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowRemoval, ...] = ()


class PartCommitted(msgspec.Struct, frozen=True):
    """The transaction took effect."""

    #: Version of every row that it wrote.
    version: int


class PartConflict(msgspec.Struct, frozen=True):
    """A condition did not hold; nothing was written.

    The rows are those of the conditions as they stand, at one moment that is not older than the
    call: a transaction with a condition that cannot hold is a read that is never stale.
    """

    rows: tuple[PartRow, ...]
    version: int

    def row(self, table: str, key: str) -> PartRow | None:
        """Find a row; ``None`` says that it is not there."""
        return next((row for row in self.rows if (row.table, row.key) == (table, key)), None)


class Listing(msgspec.Struct, frozen=True):
    """Rows in key order as of one moment, which may lie some seconds back."""

    rows: tuple[PartRow, ...]
    has_more: bool
    version: int


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes behind a version, in order."""

    rows: tuple[PartRow, ...]
    #: Ask on from here.
    version: int


class PartitionedTable(ABC):
    """A client of the store; every call has its own timeout."""

    @property
    def mean_latency_ms(self) -> float:
        """Give the time that calls usually take; 0 where nobody measures it."""
        return 0.0

    @abstractmethod
    def transact(
        self, transaction: PartTransaction
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Try a transaction, once."""

    @abstractmethod
    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read rows of a part from a key on."""

    def read_all(
        self,
        table: str,
        part: str,
        from_key: str = '',
        on_page: Callable[[Listing], None] | None = None,
    ) -> Listing | PlatformFailure:
        """Read all rows of a part from a key on, page by page.

        :param on_page: called with each page as it comes.
        :returns: as of the oldest of its pages.
        """
        rows: list[PartRow] = []
        version: int | None = None
        while True:
            page = self.read(table, part, from_key)
            if isinstance(page, PlatformFailure):
                return page
            if on_page is not None:
                on_page(page)
            rows.extend(page.rows)
            version = page.version if version is None else min(version, page.version)
            if not page.has_more or not page.rows:
                return Listing(tuple(rows), has_more=False, version=version)
            from_key = page.rows[-1].key + '\0'

    def list_all_parts(self, table: str) -> list[str] | PlatformFailure:
        """List all parts of a table."""
        found: list[str] = []
        while True:
            page = self.list_parts(table, found[-1] if found else '')
            if isinstance(page, PlatformFailure):
                return page
            found.extend(page)
            if len(page) < PARTS_PAGE:
                return found

    @abstractmethod
    def list_parts(self, table: str, after: str = '') -> list[str] | PlatformFailure:
        """List parts behind one; at most 1,000."""

    @abstractmethod
    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Wait for changes of a table behind a version."""
