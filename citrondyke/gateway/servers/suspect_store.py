"""Persists poison suspects in the store, so that they survive a restart of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
import msgspec
from gevent.event import Event

from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.crashes.suspect_key import SuspectKey
from citrondyke.decisions.crashes.suspect_registry import STORED_SCORE, SuspectStatus
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.failure_log import FailureLog
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
    from citrondyke.decisions.crashes.probe_policy import ProbePolicy
    from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable, PartRow

__all__ = ('SUSPECTS_TABLE', 'SuspectStore')

log = logbook.Logger(__name__)

SUSPECTS_TABLE = 'suspects'
#: Attempts at writing a row: after a crash several instances write the same one at once.
ATTEMPTS_LIMIT = 4
#: Pause between two writes of an instance, so that many exits at once don't use up the store's call
#: rate.
WRITE_GAP_S = 0.1
#: Limit on rows that wait to be written; a crash of several servers causes fewer.
PENDING_LIMIT = 200
#: Pause before a failed write is retried: outages of the store last for seconds.
RETRY_MS = 1_000.0
CLEANUP_EVERY_S = 600.0
#: No probe is claimed once calls of the store have been unanswered for this long, so that a caller
#: does not wait for a claim that cannot succeed.
UNRESPONSIVE_MS = 300.0
#: How long requests wait for the first read of the rows, once. Peers that answered before the store
#: have sent the rows, too.
FIRST_READ_MS = 300.0


class SuspectStore:
    """Writes this instance's suspects, follows those of other instances, and claims probes.

    Without the stored rows a newly started instance would know no suspects: after a power loss of
    the whole fleet, a stopped request would crash three more servers. A probe is claimed by a
    conditional write of the row, so that only one of the competing instances gets it.
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

        :param store: tracks whether the store responds.
        :param interval_factor: returns the factor by which polling intervals are longer than in a
            small fleet.
        """
        self._context = context
        self._table = table
        self._store = store
        self._suspects = suspects
        self._versions: dict[str, int] = {}
        self._pending: dict[str, SuspectKey] = {}
        #: Calls without a response of the store.
        self.failed_count = 0
        self._has_pending = Event()
        self._failures = FailureLog(context.clock, 'task')
        self._was_read = Event()
        self.unreadable = UnreadableRows(SUSPECTS_TABLE)
        self._feed = ChangeFeed(
            context, table, SUSPECTS_TABLE, interval_factor, self._apply_rows, self._reread
        )

    def start(self, tasks: Tasks) -> None:
        """Start following and writing the rows."""
        self._failures = tasks.failures
        tasks.supervise(self._feed.run)
        tasks.supervise(self._run_writes)
        tasks.supervise(self._run_cleanup)

    def save(self, key: SuspectKey) -> None:
        """Schedule a write of a row if its score requires one, else a read of it."""
        if len(self._pending) < PENDING_LIMIT:
            self._pending[key.digest] = key
            self._has_pending.set()

    @property
    def is_unresponsive(self) -> bool:
        """Whether calls of the store have been unanswered for too long to wait for a claim."""
        return self._store.unanswered_ms > UNRESPONSIVE_MS

    def wait_until_read(self) -> None:
        """Wait until the rows were read for the first time, but not for a store that is away."""
        if not self._was_read.is_set() and not self._was_read.wait(FIRST_READ_MS / 1e3):
            self._was_read.set()
            log.info('suspect.not_read', extra={'content': None, 'reason': 'first read is late'})

    def claim_probe(self, key: SuspectKey, policy: ProbePolicy) -> bool:
        """Claim the one probe that is due; return whether this instance got it.

        If the store does not respond, the claim fails: two concurrent probes would crash two
        servers.
        """
        for _ in range(ATTEMPTS_LIMIT):
            if self.is_unresponsive:
                return False
            if self._suspects.status_of(key, policy) is not SuspectStatus.PROBE_DUE:
                return False
            row = self._suspects.probe_row(key, policy)
            written = self._write_once(row)
            if written is None:
                return False
            if written:
                self._suspects.merge(row)
                return True
        return False

    def read_row(self, key: SuspectKey) -> None:
        """Read a row that other instances may have written.

        An instance that was partitioned has missed their datagrams and waits on a dead feed.
        Without this read it would let the request crash three more servers before it stops it.
        """
        listing = self._table.read(SUSPECTS_TABLE, '', key.digest, limit=1)
        if isinstance(listing, PlatformFailure):
            log.info(
                'suspect.not_read',
                extra={'content': key.digest, 'reason': listing.reason.value},
            )
            return
        self._apply_rows(row for row in listing.rows if row.key == key.digest)

    def _write_once(self, row: SuspectRow) -> bool | None:
        """Try to write a row; return whether it is stored, ``None`` if that is uncertain."""
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
        # A call may reach the store twice, directly and through a peer; the second one then
        # conflicts with the row that the first one wrote.
        return found.value == put.value

    def _apply_rows(self, rows: Iterable[PartRow]) -> None:
        self.unreadable.apply_each(rows, self._apply_row)

    def _apply_row(self, row: PartRow) -> None:
        if row.value is None:
            self._forget(row.key)
            return
        if self._versions.get(row.key, 0) > row.version:
            return
        self._versions[row.key] = row.version
        try:
            known = decode_json(row.value, SuspectRow)
        except UnreadableBytesError as error:
            self.unreadable.log_once(row.key, row.version, error.message)
            return
        if known.digest != row.key:
            return
        is_news = self._suspects.merge(known)
        self._save_missing(known)
        self.unreadable.record_readable(row.key, row.version)
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

    def _forget(self, digest: str) -> None:
        """Drop a suspect whose row was removed: it has expired, or an operator has cleared it."""
        self._versions.pop(digest, None)
        if self._suspects.forget(ContentDigest(digest)):
            log.info('suspect.cleared', extra={'content': digest, 'source': 'store'})

    def _save_missing(self, known: SuspectRow) -> None:
        """Schedule a write if this instance knows more than the stored row.

        A single exit is not stored, so an exit that only a partitioned instance saw would never
        become known to its peers. And a row that the instance had not seen when the request
        succeeded would stop that request again after the next start.
        """
        key = SuspectKey(ContentDigest(known.digest), known.target)
        own = self._suspects.row(key)
        if own is None:
            return
        has_more_ends = own.era == known.era and own.lives.keys() - known.lives.keys()
        if own.era > known.era or has_more_ends:
            self.save(key)

    def _reread(self) -> int:
        listing = self._table.read_all(SUSPECTS_TABLE, '')
        if isinstance(listing, PlatformFailure):
            return 0
        for digest in self._versions.keys() - {row.key for row in listing.rows}:
            self._forget(digest)
        self._apply_rows(listing.rows)
        self._was_read.set()
        return listing.version

    def _run_writes(self) -> None:
        while True:
            self._has_pending.wait()
            digest, key = next(iter(self._pending.items()))
            del self._pending[digest]
            if not self._pending:
                self._has_pending.clear()
            try:
                is_done = self._write_or_read(key)
            except Exception:
                self._failures.record_failure('SuspectStore.write', content=key.digest)
                is_done = False
            if not is_done:
                # Without a retry the row would be lost if this instance exits.
                self.save(key)
                gevent.sleep(self._context.jittered_ms(RETRY_MS) / 1e3)
            gevent.sleep(WRITE_GAP_S)

    def _write_or_read(self, key: SuspectKey) -> bool:
        """Write or read the row of a suspect; return whether that is done."""
        if self._should_store(key):
            return self._write(key)
        self.read_row(key)
        return True

    def _should_store(self, key: SuspectKey) -> bool:
        return key.digest in self._versions or self._suspects.score(key) >= STORED_SCORE

    def _write(self, key: SuspectKey) -> bool:
        """Write a row, merged with what other instances have written; return whether it is stored.

        A conflict merges the stored row into the local state, so the next attempt includes it.
        """
        for _ in range(ATTEMPTS_LIMIT):
            row = self._suspects.row(key)
            written = row is None or self._write_once(row)
            if written:
                return True
            if written is None:
                return False
            gevent.sleep(self._context.jittered_ms(WRITE_GAP_S * 1e3, 0.5) / 1e3)
        log.info('suspect.not_written', extra={'content': key.digest, 'reason': 'contended'})
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
