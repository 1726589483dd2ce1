"""Follows one part of a table by a change feed and, in parallel, by polling."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, TypeVar

import gevent
import msgspec
from gevent.event import Event

from citrondyke.decisions.forwarding.replica_freshness import ReplicaEvidence
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

#: A feed can stall without an error; polling bounds the delay of a change to this.
READ_EVERY_MS = 1_000.0
#: ... and this is the interval of a delegate reader: other instances rely on it until 1.6 s after
#: the store's last response, and a slow store takes 300 ms to respond.
DELEGATE_READ_EVERY_MS = 600.0
#: Bytes of values per second that an instance may use on full reads of a table, where polling for
#: changes would do. A configuration of thousands of routes has 350 KB and the list of 3,000 servers
#: 700 KB; hundreds of instances that read them every 3 s would read tens of MB/s from the store.
FULL_READS_BYTES_PER_S = 16_384.0
#: Each poll for changes starts from the version that was current this long ago. The store may hide
#: a change for a second while it reports a later version; a poll after that version would never
#: return the change.
REREAD_WINDOW_MS = 5_000.0
#: While reads are delegated, an instance still polls at this interval: it finds changes that both
#: readers missed. The interval is short compared to the time for which the store keeps its history.
DELEGATED_POLL_EVERY_MS = 10_000.0
#: ... and its full reads are less frequent by this factor.
DELEGATED_FULL_READ_FACTOR = 8.0


class TableFollower:
    """Delivers rows and full listings of a table to callbacks, which interpret them."""

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
        is_applied: Callable[[], bool] = lambda: True,
    ) -> None:
        """Follow the rows whose part is empty.

        :param dependency: records responses and failures; ``None`` if calls go through peers.
        :param on_rows: called with changes in order.
        :param on_listing: called with all rows and the version that they reflect.
        :param interval_factor: returns the factor by which polling intervals are longer than in a
            small fleet.
        :param on_current: called when a poll for changes has brought all rows up to date; ``None``
            to make every poll a full read.
        :param with_feed: whether changes must arrive before the next poll.
        :param delegation: whether another instance reads the table for this one; ``None`` if that
            never happens.
        :param is_applied: returns whether what the callbacks got is in force. A response that could
            not be applied proves nothing about the age of the local copy.
        """
        self._is_applied = is_applied
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
        #: Size of all values at the last full read, by this instance or a delegate reader.
        self.size_bytes = 0
        #: Average size of the values in the last response of the feed.
        self.row_bytes = 0.0
        self._last_answer_ms = float('-inf')
        self._evidence = ReplicaEvidence(float('-inf'), float('-inf'))
        #: When the next poll may be a full read rather than a poll for changes.
        self._next_full_read_ms = float('-inf')
        #: Versions up to which polls returned all changes, with their times, the oldest first.
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
        """Start polling and, if it is used, the feed."""
        tasks.supervise(self._run_reads)
        if self._with_feed:
            tasks.supervise(self._run_feed)

    @property
    def has_read_all(self) -> bool:
        """Whether all rows were read."""
        return self._version > 0

    @property
    def settled_version(self) -> int:
        """Version of the newest poll that is older than ``REREAD_WINDOW_MS``; 0 before the first.

        A change that the store hides for a moment comes after it, unless it was the first poll.
        """
        return self._reread_recent() if self._polls else 0

    @property
    def answer_age_ms(self) -> float:
        """Time since the store's last response about the table."""
        return self._context.now_ms() - self._last_answer_ms

    @property
    def evidence(self) -> ReplicaEvidence:
        """How current the table certainly is by this instance's own calls."""
        return self._evidence

    def _confirm(self, began_ms: float) -> None:
        if not self._is_applied():
            return
        confirmed_ms = max(began_ms, self._evidence.confirmed_ms)
        self._evidence = msgspec.structs.replace(self._evidence, confirmed_ms=confirmed_ms)

    def adopt(self, version: int, size_bytes: int) -> None:
        """Adopt the version that a delegate reader has read, to continue from it later.

        :param version: version up to which all changes were received from other instances.
        :param size_bytes: size of all values.
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
        """Read all rows; return whether the store responded."""
        began_ms = self._context.clock.fence_ms()
        on_page = None if self._version else self._apply_first_page
        listing = self._call_store(
            'read', lambda: self._table.read_all(self._name, '', '', on_page)
        )
        if isinstance(listing, PlatformFailure):
            return False
        self._on_listing(list(listing.rows), listing.version)
        self._confirm(began_ms)
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
        """Bring the rows up to date: by a poll for changes, or by a full read when one is due.

        :returns: whether the store responded.
        """
        if self._on_current is None or self._context.now_ms() >= self._next_full_read_ms:
            return self.read_once()
        began_ms = self._context.clock.fence_ms()
        after_version = self._reread_recent()
        feed = self._call_store('feed', lambda: self._table.follow(self._name, after_version, 0.0))
        if isinstance(feed, PlatformFailure):
            return feed.reason is PlatformFailureReason.HISTORY_LOST and self.read_once()
        self._on_rows(feed.rows)
        if feed.version >= self._version:
            self._version = feed.version
            self._polls.append((self._context.now_ms(), feed.version))
            self._on_current()
            self._confirm(began_ms)
        return True

    def _reread_recent(self) -> int:
        """Return the version of the newest old enough poll, or of the last full read."""
        self._drop_old_reads()
        return self._polls[0][1]

    def _drop_old_reads(self) -> None:
        from_ms = self._context.now_ms() - REREAD_WINDOW_MS
        while len(self._polls) > 1 and self._polls[1][0] <= from_ms:
            self._polls.popleft()

    def _resume_version(self) -> int:
        """Return the version after which the feed continues after a delegation; 0 to reread."""
        return self.settled_version

    def _on_feed(self, rows: tuple[PartRow, ...]) -> None:
        self._last_answer_ms = self._context.now_ms()
        if rows:
            self.row_bytes = sum(len(row.value or b'') for row in rows) / len(rows)
        self._on_rows(rows)
        self._confirm(self._feed.called_ms)

    def _current_interval_factor(self) -> float:
        """Return the interval factor; a delegate reader polls as often as in a small fleet."""
        return 1.0 if self._delegation.is_delegate_reader else self._interval_factor()

    def _apply_first_page(self, page: Listing) -> None:
        """Deliver the pages of the first read as they arrive: a part is enough to serve requests.

        The last page is delivered with the whole listing.
        """
        if page.has_more:
            self._on_rows(page.rows)

    def _call_store(
        self, what: str, call: Callable[[], Answer | PlatformFailure]
    ) -> Answer | PlatformFailure:
        """Call the store and record the call and its result in the dependency."""
        dependency = self._dependency
        if dependency is None:
            return call()
        dependency.record_call()
        began_ms = self._context.clock.fence_ms()
        answer = call()
        if not isinstance(answer, PlatformFailure):
            self._last_answer_ms = self._context.now_ms()
            dependency.record_answer()
        elif answer.reason is not PlatformFailureReason.HISTORY_LOST:
            # A lost history is a response, and a full read follows it.
            self._evidence = msgspec.structs.replace(self._evidence, failed_ms=began_ms)
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
