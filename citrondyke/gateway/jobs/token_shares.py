"""Shares of the bound on waiting batch tokens, as rows of the store."""

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
#: Changed by each write that lets a share grow; no incarnation has this name.
GROWTH_KEY = 'turn'
#: Rows that one transaction names at the most.
ROWS_PER_TRANSACTION = 100


class SharesRead(msgspec.Struct):
    """All shares of a route as of one moment, by incarnation."""

    shares: dict[str, TokenShare] = {}
    versions: dict[str, int] = {}
    growth_version: int = 0


class TokenShares:
    """Reads and writes shares; one part of a table for each route."""

    def __init__(self, table: PartitionedTable, own_incarnation: str) -> None:
        """Use the store's client.

        :param own_incarnation: names this incarnation of this instance.
        """
        self._table = table
        self._own_incarnation = own_incarnation
        self._unreadable = UnreadableRows(SHARES_TABLE)

    def read(self, route: RouteName) -> SharesRead | PlatformFailure:
        """Read the shares of a route."""
        listing = self._table.read_all(SHARES_TABLE, route)
        if isinstance(listing, PlatformFailure):
            return listing
        return self._decoded(route, listing.rows)

    def read_fresh(self, route: RouteName, incarnations: list[str]) -> SharesRead | PlatformFailure:
        """Read the shares of some incarnations as they stand now, though plain reads may be old."""
        rows: list[PartRow] = []
        keys = [GROWTH_KEY, *incarnations]
        # The turn is read first: a share that grows between two of these calls changes it, so that
        # no write that rests on them goes through.
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
        """Write a larger share, if nobody's grew since the read."""
        return self._write(
            route,
            read.versions.get(self._own_incarnation, 0),
            (RowCondition(SHARES_TABLE, GROWTH_KEY, read.growth_version),),
            (self._put(share), RowPut(SHARES_TABLE, GROWTH_KEY, self._own_incarnation.encode())),
        )

    def renew(
        self, route: RouteName, read: SharesRead, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a share that is not larger but allows more, if nobody's grew since the read.

        Several may do so at once: each counted the others' shares as they were, and none grows.
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
        """Write a share that is not larger than the one before."""
        return self._write(route, own_version, (), (self._put(share),))

    def drop(
        self, route: RouteName, incarnation: str, version: int
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Take a incarnation's share away."""
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
        # An own write may be done late, after the next one; without its version it would bring
        # an old share back.
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
        return read

    def _put(self, share: TokenShare) -> RowPut:
        return RowPut(SHARES_TABLE, self._own_incarnation, msgspec.json.encode(share))
