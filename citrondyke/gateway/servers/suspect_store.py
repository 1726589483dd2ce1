"""Suspected requests in the store, so that they outlive every instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.event import Event

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint
from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.crashes.suspect_registry import STORED_SCORE, SuspectStatus
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.change_feed import ChangeFeed
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.ids import ContentDigest
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartTransaction,
    RowCondition,
    RowPut,
    RowRemoval,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('SUSPECTS_TABLE', 'SuspectStore')

log = logbook.Logger(__name__)

SUSPECTS_TABLE = 'suspects'
#: Writes of a row are tried so often: others write the same one in the moments after a crash.
ATTEMPTS_LIMIT = 4
#: Between two writes of one instance, so that many ends at once do not fill the store's rate.
WRITE_GAP_S = 0.1
#: Rows that wait to be written; more than a crash of several servers brings.
PENDING_LIMIT = 200
#: Before a row that could not be written is tried again: the store is out of reach for seconds.
RETRY_MS = 1_000.0
CLEANUP_EVERY_S = 600.0
#: No trial is asked for while calls of the store have had no answer for so long: a caller must not
#: wait for what cannot be had.
UNRESPONSIVE_MS = 300.0


class SuspectStore:
    """Writes what this instance finds out, follows what others do, and gives out trials.

    Without it an instance that starts knows nothing, and after a loss of all power a request that
    had been stopped would end three servers more. Trials are given out by a condition on the row:
    one instance gets one, however many ask.
    """

    def __init__(
        self,
        context: Context,
        table: PartitionedTable,
        store: Dependency,
        suspects: SuspectRegistry,
        interval_factor: Callable[[], float],
    ) -> None:
        """Use the parts handed in.

        :param store: tells whether the store answers.
        :param pace: gives the factor by which calls are rarer than in a small fleet.
        """
        self._context = context
        self._table = table
        self._store = store
        self._suspects = suspects
        self._versions: dict[str, int] = {}
        self._pending: dict[str, RequestFingerprint] = {}
        #: Calls that the store did not answer.
        self.failed_count = 0
        self._has_pending = Event()
        self._unreadable = UnreadableRows(SUSPECTS_TABLE)
        self._feed = ChangeFeed(
            context, table, SUSPECTS_TABLE, interval_factor, self._apply_rows, self._reread
        )

    def start(self, tasks: Tasks) -> None:
        """Begin to follow and to write."""
        tasks.keep(self._feed.run)
        tasks.keep(self._run_writes)
        tasks.keep(self._run_cleanup)

    def save(self, content: RequestFingerprint) -> None:
        """Have a row written soon, where others must know of it; else have it looked for."""
        if len(self._pending) < PENDING_LIMIT:
            self._pending[content.digest] = content
            self._has_pending.set()

    def claim_probe(self, content: RequestFingerprint, *, is_item: bool) -> bool:
        """Get the one trial that is due; tell whether this instance has it.

        Where the store does not answer nobody gets it: two trials at once would lose two servers.
        """
        for _ in range(ATTEMPTS_LIMIT):
            if self._store.unanswered_ms > UNRESPONSIVE_MS:
                return False
            if self._suspects.status_of(content, is_item=is_item) is not SuspectStatus.PROBE_DUE:
                return False
            row = self._suspects.probe_row(content)
            written = self._write_once(row)
            if written is None:
                return False
            if written:
                self._suspects.merge(row)
                return True
        return False

    def read_row(self, content: RequestFingerprint) -> None:
        """Read a row that others may have written.

        An instance that was cut off has missed their datagrams and waits on a feed that is dead:
        it would end three servers more by itself before it knew.
        """
        listing = self._table.read(SUSPECTS_TABLE, '', content.digest, limit=1)
        if isinstance(listing, PlatformFailure):
            log.info(
                'suspect.not_read',
                extra={'content': content.digest, 'reason': listing.reason.value},
            )
            return
        self._apply_rows(row for row in listing.rows if row.key == content.digest)

    def _write_once(self, row: SuspectRow) -> bool | None:
        """Write a row; tell whether it stands, ``None`` where the store did not say."""
        version = self._versions.get(row.digest, 0)
        condition = RowCondition(SUSPECTS_TABLE, row.digest, version)
        put = RowPut(SUSPECTS_TABLE, row.digest, msgspec.json.encode(row))
        answer = self._table.transact(PartTransaction('', (condition,), (put,)))
        if isinstance(answer, PlatformFailure):
            self.failed_count += 1
            log.info(
                'suspect.not_written',
                extra={'content': row.digest, 'reason': answer.reason.value},
            )
            return None
        if isinstance(answer, PartCommitted):
            self._versions[row.digest] = answer.version
            return True
        found = answer.row(SUSPECTS_TABLE, row.digest)
        if found is None:
            self._versions.pop(row.digest, None)
            return False
        self._apply_rows((found,))
        # A call may reach the store twice, by two ways: the second finds the first one's row.
        return found.value == put.value

    def _apply_rows(self, rows: Iterable[PartRow]) -> None:
        for row in rows:
            if row.value is None:
                self._versions.pop(row.key, None)
                continue
            if self._versions.get(row.key, 0) > row.version:
                continue
            self._versions[row.key] = row.version
            try:
                known = decode_json(row.value, SuspectRow)
            except UnreadableBytesError as error:
                self._unreadable.log_once(row.key, row.version, error.message)
                continue
            if known.digest != row.key:
                continue
            is_news = self._suspects.merge(known)
            self._save_missing(known)
            if is_news:
                log.info(
                    'suspect.known',
                    extra={
                        'content': known.digest,
                        'servers': round(sum(known.lives.values()), 2),
                        'era': known.era,
                        'trials': known.trials,
                        'source': 'store',
                    },
                )

    def _save_missing(self, known: SuspectRow) -> None:
        """Have written what this instance knows beyond a row.

        One end is not worth a row, so that what an instance saw alone while its peers did not
        reach it would stay unknown to them for good; and a row that it had not seen when the
        request was answered well would stop that request again after the next start.
        """
        content = RequestFingerprint(ContentDigest(known.digest), known.target)
        own = self._suspects.row(content)
        if own is None:
            return
        has_more_ends = own.era == known.era and own.lives.keys() - known.lives.keys()
        if own.era > known.era or has_more_ends:
            self.save(content)

    def _reread(self) -> int:
        listing = self._table.read_all(SUSPECTS_TABLE, '')
        if isinstance(listing, PlatformFailure):
            return 0
        self._apply_rows(listing.rows)
        return listing.version

    def _run_writes(self) -> None:
        while True:
            self._has_pending.wait()
            digest, content = next(iter(self._pending.items()))
            del self._pending[digest]
            if not self._pending:
                self._has_pending.clear()
            if not self._should_store(content):
                self.read_row(content)
            elif not self._write(content):
                # Left out, it would be forgotten with this instance once the store is back.
                self.save(content)
                gevent.sleep(self._context.jittered_ms(RETRY_MS) / 1e3)
            gevent.sleep(WRITE_GAP_S)

    def _should_store(self, content: RequestFingerprint) -> bool:
        return content.digest in self._versions or self._suspects.score(content) >= STORED_SCORE

    def _write(self, content: RequestFingerprint) -> bool:
        """Write a row with what others have written; tell whether it stands."""
        for _ in range(ATTEMPTS_LIMIT):
            row = self._suspects.row(content)
            written = row is None or self._write_once(row)
            if written:
                return True
            if written is None:
                return False
            gevent.sleep(self._context.jittered_ms(WRITE_GAP_S * 1e3, 0.5) / 1e3)
        log.info('suspect.not_written', extra={'content': content.digest, 'reason': 'contended'})
        return False

    def _run_cleanup(self) -> None:
        while True:
            gevent.sleep(self._context.jittered_ms(CLEANUP_EVERY_S * 1e3) / 1e3)
            for digest in self._suspects.forget_old():
                version = self._versions.pop(digest, 0)
                if version:
                    condition = RowCondition(SUSPECTS_TABLE, digest, version)
                    removal = RowRemoval(SUSPECTS_TABLE, digest)
                    self._table.transact(PartTransaction('', (condition,), (), (removal,)))
