"""Interface of partitioned tables: conditional transactions within one partition, and changes."""

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

#: Partitions in one page of the list; a shorter page is the last one.
PARTS_PAGE = 1_000
#: A version that no row ever has. A condition on it always conflicts, and the conflict returns the
#: current rows: this is a read that is never stale.
IMPOSSIBLE_VERSION = 2**53


class PartRow(msgspec.Struct, frozen=True):
    """A row of a partition; among changes, the value ``None`` means that the row was deleted."""

    table: str
    part: str
    key: str
    #: Increases with each transaction of the whole store.
    version: int
    value: bytes | None


class RowCondition(msgspec.Struct, frozen=True):
    """The version that a row must have for a transaction; 0 if the row must not exist."""

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
    """An atomic transaction within one partition."""

    part: str
    conditions: tuple[RowCondition, ...] = ()
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowRemoval, ...] = ()


class PartCommitted(msgspec.Struct, frozen=True):
    """The transaction was committed."""

    #: Version of all rows that the transaction wrote.
    version: int


class PartConflict(msgspec.Struct, frozen=True):
    """A condition was not met; nothing was written.

    ``rows`` has the current rows of all conditions as of one moment that is not before the call. A
    transaction with a condition that cannot be met is therefore a read that is never stale.
    """

    rows: tuple[PartRow, ...]
    version: int

    def row(self, table: str, key: str) -> PartRow | None:
        """Return a row; ``None`` if it does not exist."""
        return next((row for row in self.rows if (row.table, row.key) == (table, key)), None)


class Listing(msgspec.Struct, frozen=True):
    """Rows in key order as of one moment, which may be some seconds ago."""

    rows: tuple[PartRow, ...]
    has_more: bool
    version: int
    #: The store's steady clock at that moment; ``None`` if it is not stated.
    store_ms: float | None = None


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes after a version, in order."""

    rows: tuple[PartRow, ...]
    #: Version to continue from.
    version: int


class PartitionedTable(ABC):
    """A client for the store; each call has its own timeout."""

    @property
    def mean_latency_ms(self) -> float:
        """Return the mean latency of calls; 0 if it is not measured."""
        return 0.0

    @abstractmethod
    def transact(
        self, transaction: PartTransaction
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Attempt a transaction once."""

    @abstractmethod
    def read(
        self, table: str, part: str, from_key: str = '', limit: int = 500
    ) -> Listing | PlatformFailure:
        """Read one page of rows of a partition, beginning at a key."""

    def read_all(
        self,
        table: str,
        part: str,
        from_key: str = '',
        on_page: Callable[[Listing], None] | None = None,
    ) -> Listing | PlatformFailure:
        """Read all rows of a partition, page by page, beginning at a key.

        :param on_page: called with each page as it arrives.
        :returns: all rows, with the lowest version and the earliest time of the pages.
        """
        rows: list[PartRow] = []
        version: int | None = None
        store_ms: float | None = None
        while True:
            page = self.read(table, part, from_key)
            if isinstance(page, PlatformFailure):
                return page
            if on_page is not None:
                on_page(page)
            rows.extend(page.rows)
            if version is None:
                version, store_ms = page.version, page.store_ms
            version = min(version, page.version)
            if not page.has_more or not page.rows:
                return Listing(tuple(rows), has_more=False, version=version, store_ms=store_ms)
            from_key = page.rows[-1].key + '\0'

    def list_all_parts(self, table: str) -> list[str] | PlatformFailure:
        """List all partitions of a table."""
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
        """List at most 1,000 partitions after one."""

    @abstractmethod
    def follow(
        self, table: str, after_version: int, wait_ms: float
    ) -> ChangeBatch | PlatformFailure:
        """Wait for changes of a table after a version.

        :param wait_ms: how long the store waits if there are none yet.
        """
