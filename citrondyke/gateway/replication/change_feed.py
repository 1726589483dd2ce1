"""Long-polling loop over a table's change feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.gateway.replication.read_delegation import NoReadDelegation
from citrondyke.gateway.retry_backoff import backoff_ms
from citrondyke.storage.failure import PlatformFailure, PlatformFailureReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.replication.read_delegation import ReadDelegation
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('ChangeFeed',)

log = logbook.Logger(__name__)

#: Timeout of one long poll, so that a dead connection is noticed.
FEED_WAIT_MS = 4_000.0
#: Pause after a response, so that changes within it share the next one: heartbeats change rows all
#: the time. It is short enough because a draining server may get requests for 2 s.
FEED_PAUSE_MS = 250.0


class ChangeFeed:
    """Delivers changes in order, and rereads the table if the store has dropped its history."""

    def __init__(
        self,
        context: Context,
        table: PartitionedTable,
        name: str,
        interval_factor: Callable[[], float],
        on_rows: Callable[[tuple[PartRow, ...]], None],
        reread: Callable[[], int],
        delegation: ReadDelegation | None = None,
        resume_version: Callable[[], int] = lambda: 0,
    ) -> None:
        """Follow one table.

        :param interval_factor: returns the factor by which polling intervals are longer than in a
            small fleet.
        :param reread: reads what the feed did not deliver, and returns the version after which the
            feed continues; 0 if the store did not respond.
        :param delegation: whether another instance follows the table for this one; ``None`` if that
            never happens.
        :param resume_version: returns the version after which to continue when delegation ends; 0
            requires a reread.
        """
        self._context = context
        self._table = table
        self._name = name
        self._interval_factor = interval_factor
        self._on_rows = on_rows
        self._reread = reread
        self._delegation = NoReadDelegation() if delegation is None else delegation
        self._resume_version = resume_version
        #: Beginning of the last call, by the fence clock.
        self.called_ms = float('-inf')

    def run(self, version: int = 0) -> None:
        """Follow the table forever.

        :param version: version after which to begin; 0 if nothing has been read yet.
        """
        failures_count = 0
        while True:
            if self._delegation.is_delegated:
                version = self._wait_while_delegated()
            version = version or self._reread()
            if version:
                self.called_ms = self._context.clock.fence_ms()
                feed = self._table.follow(self._name, version, FEED_WAIT_MS)
                if not isinstance(feed, PlatformFailure):
                    version = feed.version
                    failures_count = 0
                    self._on_rows(feed.rows)
                    gevent.sleep(FEED_PAUSE_MS * self._interval_factor() / 1e3)
                    continue
                if feed.reason is PlatformFailureReason.HISTORY_LOST:
                    log.info('feed.history_lost', extra={'table': self._name, 'version': version})
                    version = 0
            failures_count += 1
            gevent.sleep(self._context.jittered_ms(backoff_ms(failures_count)) / 1e3)

    def _wait_while_delegated(self) -> int:
        """Pause while reads are delegated; return the version after which to continue."""
        while self._delegation.is_delegated:
            gevent.sleep(self._context.jittered_ms(FEED_PAUSE_MS) / 1e3)
        return self._resume_version()
