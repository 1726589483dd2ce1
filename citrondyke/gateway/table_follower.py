"""Follows one part of a table by a feed and, beside it, by reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

from citrondyke.storage.failure import PlatformFailure, PlatformFailureReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('TableFollower',)

log = logbook.Logger(__name__)

#: A feed can fall silent without an end; the reads beside it bound what is missed to this.
READ_EVERY_MS = 1_000.0
#: A feed is asked anew after so long, so that one on a dead connection is noticed.
FEED_WAIT_MS = 4_000.0
RETRY_MS = 150.0
#: Pause after a feed's answer: heartbeats change rows all the time, and changes that come within
#: it share an answer. A server that leaves may get requests for 2 s after it said so.
FEED_PAUSE_MS = 250.0
PAGE_ROWS = 500


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
        *,
        with_feed: bool = True,
    ) -> None:
        """Follow the rows with an empty part.

        :param dependency: told of answers and failures; ``None`` where calls go by way of peers.
        :param on_rows: called with changes in order.
        :param on_listing: called with all rows and the version as of which they stand.
        :param with_feed: whether changes matter sooner than by the next read.
        """
        self._context = context
        self._table = table
        self._name = name
        self._dependency = dependency
        self._on_rows = on_rows
        self._on_listing = on_listing
        self._with_feed = with_feed
        self._version = 0
        self._is_read = Event()

    def start(self, tasks: Tasks) -> None:
        """Begin both."""
        tasks.keep(self._run_reads)
        if self._with_feed:
            tasks.keep(self._run_feed)

    def read_once(self) -> bool:
        """Read all rows; tell whether the store answered."""
        rows: list[PartRow] = []
        from_key = ''
        version = 0
        while True:
            page = self._table.read(self._name, '', from_key, PAGE_ROWS)
            if isinstance(page, PlatformFailure):
                if self._dependency is not None:
                    self._dependency.note_failure(f'read {self._name}: {page.reason.value}')
                return False
            rows.extend(page.rows)
            version = version or page.version
            if not page.has_more or not page.rows:
                break
            from_key = page.rows[-1].key + '\0'
        if self._dependency is not None:
            self._dependency.note_answer()
        self._on_listing(rows, version)
        self._version = max(self._version, version)
        return True

    def _run_reads(self) -> None:
        while not self.read_once():
            gevent.sleep(self._context.jittered_ms(RETRY_MS) / 1e3)
        self._is_read.set()
        while True:
            gevent.sleep(self._context.jittered_ms(READ_EVERY_MS) / 1e3)
            self.read_once()

    def _run_feed(self) -> None:
        self._is_read.wait()
        while True:
            feed = self._table.follow(self._name, self._version, FEED_WAIT_MS)
            if not isinstance(feed, PlatformFailure):
                self._version = max(self._version, feed.version)
                self._on_rows(feed.rows)
                gevent.sleep(FEED_PAUSE_MS / 1e3)
                continue
            if feed.reason is PlatformFailureReason.HISTORY_LOST:
                log.info('feed.history_lost', extra={'table': self._name, 'version': self._version})
                # The next read shows what the lost history held; the feed goes on from there.
                self._version = 0
                self.read_once()
            gevent.sleep(self._context.jittered_ms(RETRY_MS) / 1e3)
