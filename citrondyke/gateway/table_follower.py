"""Follows one part of a table by a feed and, beside it, by reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from citrondyke.gateway.change_feed import ChangeFeed
from citrondyke.gateway.pauses import retry_ms
from citrondyke.storage.failure import PlatformFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('TableFollower',)

#: A feed can fall silent without an end; the reads beside it bound what is missed to this.
READ_EVERY_MS = 1_000.0


class TableFollower:
    """Hands on rows and whole listings as they are seen; what they mean is decided elsewhere."""

    def __init__(
        self,
        context: Context,
        table: PartitionedTable,
        name: str,
        dependency: Dependency | None,
        on_rows: Callable[[tuple[PartRow, ...]], None],
        on_listing: Callable[[list[PartRow], int], None],
        pace: Callable[[], float],
        *,
        with_feed: bool = True,
    ) -> None:
        """Follow the rows with an empty part.

        :param dependency: told of answers and failures; ``None`` where calls go by way of peers.
        :param on_rows: called with changes in order.
        :param on_listing: called with all rows and the version as of which they stand.
        :param pace: gives the factor by which calls are rarer than in a small fleet.
        :param with_feed: whether changes matter sooner than by the next read.
        """
        self._context = context
        self._table = table
        self._name = name
        self._dependency = dependency
        self._on_listing = on_listing
        self._with_feed = with_feed
        self._pace = pace
        self._version = 0
        self._is_read = Event()
        self._feed = ChangeFeed(context, table, name, pace, on_rows, self._read_anew)

    def start(self, tasks: Tasks) -> None:
        """Begin both."""
        tasks.keep(self._run_reads)
        if self._with_feed:
            tasks.keep(self._run_feed)

    def read_once(self) -> bool:
        """Read all rows; tell whether the store answered."""
        if self._dependency is not None:
            self._dependency.note_call()
        listing = self._table.read_all(self._name, '')
        if isinstance(listing, PlatformFailure):
            if self._dependency is not None:
                self._dependency.note_failure(f'read {self._name}: {listing.reason.value}')
            return False
        if self._dependency is not None:
            self._dependency.note_answer()
        self._on_listing(list(listing.rows), listing.version)
        self._version = max(self._version, listing.version)
        return True

    def _run_reads(self) -> None:
        failures_count = 0
        while True:
            if self.read_once():
                self._is_read.set()
                failures_count = 0
                pause_ms = READ_EVERY_MS * self._pace()
            else:
                failures_count += 1
                pause_ms = retry_ms(failures_count)
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)

    def _run_feed(self) -> None:
        self._is_read.wait()
        self._feed.run(self._version)

    def _read_anew(self) -> int:
        return self._version if self.read_once() else 0
