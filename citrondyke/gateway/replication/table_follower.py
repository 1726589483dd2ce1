"""Follows one part of a table by a feed and, beside it, by reads."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeVar

import gevent
from gevent.event import Event

from citrondyke.gateway.replication.change_feed import ChangeFeed
from citrondyke.gateway.replication.read_delegation import NoReadDelegation
from citrondyke.gateway.retry_backoff import backoff_ms
from citrondyke.storage.failure import PlatformFailure, PlatformFailureReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.read_delegation import ReadDelegation
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import Listing, PartitionedTable, PartRow

__all__ = ('TableFollower',)

Answer = TypeVar('Answer')

#: A feed can fall silent without an end; the reads beside it bound what is missed to this.
READ_EVERY_MS = 1_000.0
#: ... and those of one who reads for others: they rely on it until 1.6 s after the store's last
#: answer, for which a slow store takes 300 ms.
DELEGATE_READ_EVERY_MS = 600.0
#: Bytes of values a second that one instance may spend on whole reads of a table that it can be
#: told the changes of instead: the configuration of thousands of routes has 350 KB, the list of
#: 3,000 servers 700 KB, and hundreds of instances that read them every 3 s would take tens of MB a
#: second from the store.
FULL_READS_BYTES_PER_S = 16_384.0
#: A look for changes goes back so far behind the one before. The store may hide changes for a
#: second and name a version beyond them, and a look behind that would never show them.
REREAD_WINDOW_MS = 5_000.0
#: While others read the table for this instance, it looks so often itself: a proof that two readers
#: do not both miss a change for good, and short against the time for which the store remembers.
DELEGATED_POLL_EVERY_MS = 10_000.0
#: ... and reads the whole of it by so much more rarely.
DELEGATED_FULL_READ_FACTOR = 8.0


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
        interval_factor: Callable[[], float],
        on_current: Callable[[], None] | None = None,
        *,
        with_feed: bool = True,
        delegation: ReadDelegation | None = None,
    ) -> None:
        """Follow the rows with an empty part.

        :param dependency: told of answers and failures; ``None`` where calls go by way of peers.
        :param on_rows: called with changes in order.
        :param on_listing: called with all rows and the version as of which they stand.
        :param pace: gives the factor by which calls are rarer than in a small fleet.
        :param on_current: called when a look for changes alone has shown how all rows are by now;
            ``None`` where only whole reads will do.
        :param with_feed: whether changes matter sooner than by the next read.
        :param cover: tells whether somebody else reads it; ``None`` where nobody does.
        """
        self._context = context
        self._table = table
        self._name = name
        self._dependency = dependency
        self._on_rows = on_rows
        self._on_listing = on_listing
        self._on_current = on_current
        self._with_feed = with_feed
        self._interval_factor = interval_factor
        self._delegation = NoReadDelegation() if delegation is None else delegation
        self._version = 0
        #: Of the values, by the last whole read or by whoever made it.
        self.size_bytes = 0
        #: Of the values of the rows that the store showed last, on average.
        self.row_bytes = 0.0
        self._last_answer_ms = float('-inf')
        #: When a whole read may be made again rather than a look for changes.
        self._next_full_read_ms = float('-inf')
        #: Versions up to which looks showed everything, with their times, the oldest first.
        self._polls: deque[tuple[float, int]] = deque()
        self._last_poll_ms = float('-inf')
        self._first_read_done = Event()
        self._feed = ChangeFeed(
            context,
            table,
            name,
            self._current_interval_factor,
            self._on_feed,
            self._reread,
            self._delegation,
            self._resume_version,
        )

    def start(self, tasks: Tasks) -> None:
        """Begin both."""
        tasks.keep(self._run_reads)
        if self._with_feed:
            tasks.keep(self._run_feed)

    @property
    def has_read_all(self) -> bool:
        """Tell whether all rows were seen."""
        return self._version > 0

    @property
    def settled_version(self) -> int:
        """Give the version of the newest look that is old enough; 0 before the first.

        What the store hid for a moment lies behind it, unless it was the very first look.
        """
        return self._reread_recent() if self._polls else 0

    @property
    def answer_age_ms(self) -> float:
        """Give the time since the store last told this instance of the table."""
        return self._context.now_ms() - self._last_answer_ms

    def adopt(self, version: int, size_bytes: int) -> None:
        """Go on from where somebody else has read to, should that be needed.

        :param version: up to which all changes are known here by way of others.
        """
        now_ms = self._context.now_ms()
        self.size_bytes = size_bytes
        if self._next_full_read_ms == float('-inf'):
            pause_ms = DELEGATED_FULL_READ_FACTOR * size_bytes / FULL_READS_BYTES_PER_S * 1e3
            self._next_full_read_ms = now_ms + self._context.jittered_ms(pause_ms)
            self._last_poll_ms = now_ms
        if version > self._version:
            self._version = version
            self._polls.append((now_ms, version))
            self._drop_old_reads()
        self._first_read_done.set()

    def read_once(self) -> bool:
        """Read all rows; tell whether the store answered."""
        on_page = None if self._version else self._apply_first_page
        listing = self._call_store(
            'read', lambda: self._table.read_all(self._name, '', '', on_page)
        )
        if isinstance(listing, PlatformFailure):
            return False
        self._on_listing(list(listing.rows), listing.version)
        self._version = max(self._version, listing.version)
        self.size_bytes = sum(len(row.value or b'') for row in listing.rows)
        pause_ms = self.size_bytes / FULL_READS_BYTES_PER_S * 1e3
        if self._delegation.is_delegated:
            pause_ms *= DELEGATED_FULL_READ_FACTOR
        self._next_full_read_ms = self._context.now_ms() + pause_ms
        self._polls.clear()
        self._polls.append((self._context.now_ms(), self._version))
        return True

    def poll_once(self) -> bool:
        """Bring the rows up to date, by their changes where all of them are many bytes.

        :returns: whether the store answered.
        """
        if self._on_current is None or self._context.now_ms() >= self._next_full_read_ms:
            return self.read_once()
        behind = self._reread_recent()
        feed = self._call_store('feed', lambda: self._table.follow(self._name, behind, 0.0))
        if isinstance(feed, PlatformFailure):
            return feed.reason is PlatformFailureReason.HISTORY_LOST and self.read_once()
        self._on_rows(feed.rows)
        if feed.version >= self._version:
            self._version = feed.version
            self._polls.append((self._context.now_ms(), feed.version))
            self._on_current()
        return True

    def _reread_recent(self) -> int:
        """Give the version of the newest look that is old enough, or of the last whole read."""
        self._drop_old_reads()
        return self._polls[0][1]

    def _drop_old_reads(self) -> None:
        from_ms = self._context.now_ms() - REREAD_WINDOW_MS
        while len(self._polls) > 1 and self._polls[1][0] <= from_ms:
            self._polls.popleft()

    def _resume_version(self) -> int:
        """Give the version behind which a feed goes on after others read; 0 for a whole read."""
        return self.settled_version

    def _on_feed(self, rows: tuple[PartRow, ...]) -> None:
        self._last_answer_ms = self._context.now_ms()
        if rows:
            self.row_bytes = sum(len(row.value or b'') for row in rows) / len(rows)
        self._on_rows(rows)

    def _current_interval_factor(self) -> float:
        """Give the pace; who reads for others is as quick as in a small fleet."""
        return 1.0 if self._delegation.is_delegate_reader else self._interval_factor()

    def _apply_first_page(self, page: Listing) -> None:
        """Hand on the rows of the first read as they come: some are enough to begin with.

        The last page comes with the whole listing.
        """
        if page.has_more:
            self._on_rows(page.rows)

    def _call_store(
        self, what: str, call: Callable[[], Answer | PlatformFailure]
    ) -> Answer | PlatformFailure:
        """Make a call, and have the dependency told of it and of what became of it."""
        dependency = self._dependency
        if dependency is None:
            return call()
        dependency.record_call()
        answer = call()
        if not isinstance(answer, PlatformFailure):
            self._last_answer_ms = self._context.now_ms()
            dependency.record_answer()
        elif answer.reason is not PlatformFailureReason.HISTORY_LOST:
            # That one is an answer, and a whole read follows it.
            dependency.record_failure(f'{what} {self._name}: {answer.reason.value}')
        return answer

    def _is_poll_due(self) -> bool:
        return self._context.now_ms() - self._last_poll_ms >= DELEGATED_POLL_EVERY_MS

    def _run_reads(self) -> None:
        self._delegation.delay_first_read()
        failures_count = 0
        while True:
            if self._delegation.is_delegated and not self._is_poll_due():
                pause_ms = READ_EVERY_MS * self._interval_factor()
            elif self.poll_once():
                self._last_poll_ms = self._context.now_ms()
                self._first_read_done.set()
                failures_count = 0
                is_reader = self._delegation.is_delegate_reader
                pause_ms = (
                    DELEGATE_READ_EVERY_MS if is_reader else READ_EVERY_MS * self._interval_factor()
                )
            else:
                failures_count += 1
                pause_ms = backoff_ms(failures_count)
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)

    def _run_feed(self) -> None:
        self._first_read_done.wait()
        self._feed.run(self._version)

    def _reread(self) -> int:
        return self._version if self.read_once() else 0
