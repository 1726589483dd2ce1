"""Stored shares of the backlog limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.backlog_limit import TokenShare
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    IMPOSSIBLE_VERSION,
    PartCommitted,
    PartConflict,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.ids import RouteName
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('SharesRead', 'TokenShares')

SHARES_TABLE = 'batch_tokens'
#: Row that each growth of a share rewrites, so that concurrent growths conflict; no incarnation has
#: this name.
GROWTH_KEY = 'turn'
#: Largest number of rows in one transaction.
ROWS_PER_TRANSACTION = 100


class SharesRead(msgspec.Struct):
    """All shares of a route at one point in time, by incarnation."""

    shares: dict[str, TokenShare] = {}
    versions: dict[str, int] = {}
    growth_version: int = 0


class TokenShares:
    """Reads and writes shares; each route has its own part of the table."""

    def __init__(self, table: PartitionedTable, own_incarnation: str) -> None:
        """Initialize with the store's client.

        :param own_incarnation: identifies the current incarnation of this instance.
        """
        self._table = table
        self._own_incarnation = own_incarnation
        self._unreadable = UnreadableRows(SHARES_TABLE)

    def read(self, route: RouteName) -> SharesRead | PlatformFailure:
        """Read the shares of a route; the result may be stale."""
        listing = self._table.read_all(SHARES_TABLE, route)
        if isinstance(listing, PlatformFailure):
            return listing
        return self._decoded(route, listing.rows)

    def read_fresh(self, route: RouteName, incarnations: list[str]) -> SharesRead | PlatformFailure:
        """Read the current shares of the given incarnations, even if plain reads are stale."""
        rows: list[PartRow] = []
        keys = [GROWTH_KEY, *incarnations]
        # The growth row is read first: a share that grows between two of these calls changes it, so
        # a write based on these reads fails.
        for start in range(0, len(keys), ROWS_PER_TRANSACTION):
            conditions = tuple(
                RowCondition(SHARES_TABLE, key, IMPOSSIBLE_VERSION)
                for key in keys[start : start + ROWS_PER_TRANSACTION]
            )
            answer = self._table.transact(PartTransaction(route, conditions))
            if isinstance(answer, PlatformFailure):
                return answer
            if isinstance(answer, PartConflict):
                rows += [row for row in answer.rows if row.value is not None]
        return self._decoded(route, rows)

    def grow(
        self, route: RouteName, read: SharesRead, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a larger share if no share has grown since the read."""
        return self._write(
            route,
            read.versions.get(self._own_incarnation, 0),
            (RowCondition(SHARES_TABLE, GROWTH_KEY, read.growth_version),),
            (self._put(share), RowPut(SHARES_TABLE, GROWTH_KEY, self._own_incarnation.encode())),
        )

    def renew(
        self, route: RouteName, read: SharesRead, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a share that is not larger but allows more, if no share has grown since the read.

        Several instances may renew concurrently: each has counted the peers' shares as they are,
        and no share grows.
        """
        return self._write(
            route,
            read.versions.get(self._own_incarnation, 0),
            (RowCondition(SHARES_TABLE, GROWTH_KEY, read.growth_version),),
            (self._put(share),),
        )

    def shrink(
        self, route: RouteName, own_version: int, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a share that is not larger than the previous one."""
        return self._write(route, own_version, (), (self._put(share),))

    def drop(
        self, route: RouteName, incarnation: str, version: int
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Remove an incarnation's share."""
        return self._table.transact(
            PartTransaction(
                route,
                (RowCondition(SHARES_TABLE, incarnation, version),),
                (),
                (RowRemoval(SHARES_TABLE, incarnation),),
            )
        )

    def _write(
        self,
        route: RouteName,
        own_version: int,
        conditions: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> PartCommitted | PartConflict | PlatformFailure:
        # A write of this instance may be applied late, after the next one. Without the condition on
        # the version it would restore an old share.
        own = RowCondition(SHARES_TABLE, self._own_incarnation, own_version)
        return self._table.transact(PartTransaction(route, (own, *conditions), puts))

    def _decoded(self, route: RouteName, rows: Iterable[PartRow]) -> SharesRead:
        read = SharesRead()
        for row in rows:
            if row.key == GROWTH_KEY:
                read.growth_version = row.version
                continue
            try:
                read.shares[row.key] = decode_json(row.value or b'', TokenShare)
                read.versions[row.key] = row.version
            except UnreadableBytesError as error:
                self._unreadable.log_once(f'{route}/{row.key}', row.version, error.message)
            except Exception:
                self._unreadable.log_failure(f'{route}/{row.key}', row.version)
        return read

    def _put(self, share: TokenShare) -> RowPut:
        return RowPut(SHARES_TABLE, self._own_incarnation, msgspec.json.encode(share))
