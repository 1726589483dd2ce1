"""Versions of each service and the split of streams among them, for a start of all instances."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Annotated

import gevent
import logbook
import msgspec
from gevent.lock import BoundedSemaphore

from citrondyke.decisions.core.store_clock import StoreClock
from citrondyke.decisions.streams.stored_origins import StoredOrigins, StoredVersions
from citrondyke.decisions.streams.stream_origin import StreamOrigin
from citrondyke.decisions.streams.version_split import (
    Assignment,
    VersionSplit,
    next_splits,
    possible_versions,
)
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
from citrondyke.gateway.streams.stream_exceptions import (
    EXCEPTIONS_TABLE,
    BegunStream,
    StreamExceptions,
)
from citrondyke.ids import ServiceName, SoftwareVersion
from citrondyke.storage.failure import PlatformFailure
from citrondyke.storage.partitioned_table import (
    PartCommitted,
    PartTransaction,
    RowCondition,
    RowPut,
)
from citrondyke.util.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.streams.origin_history import OriginHistory
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('VERSIONS_TABLE', 'OriginStore')

log = logbook.Logger(__name__)

VERSIONS_TABLE = 'software_versions'
#: Interval of comparing the rows with the server list.
CHECK_EVERY_MS = 500.0
#: Pause after a failed call: outages of the store last for seconds.
RETRY_MS = 2_000.0
VERSIONS_LIMIT = 50
#: Interval of reading a row that another instance writes, while several versions serve.
FOLLOW_EVERY_MS = 1_000.0
#: Share of the checks that read a row for the first time, so that at a start of all instances these
#: reads are spread over some seconds.
FIRST_READ_SHARE = 0.1
#: Time for which an instance may go on with a split that was replaced.
SPLIT_LAG_MS = 5_000.0
#: Calls of the store without an answer for this long: a first event doesn't wait for a write.
STORE_UNRESPONSIVE_MS = 300.0
CLEANUP_EVERY_MS = 600_000.0


class VersionsRow(msgspec.Struct, frozen=True):
    """Row of a service: every version whose streams may still be resumed."""

    versions: Annotated[list[str], msgspec.Meta(max_length=VERSIONS_LIMIT)]
    #: Splits of new streams, the one in force last; instances of an earlier version write none.
    splits: Annotated[list[VersionSplit], msgspec.Meta(max_length=VERSIONS_LIMIT)] = []


class _StoredRow(msgspec.Struct, frozen=True):
    #: 0 if there is no row.
    row_version: int
    versions: frozenset[SoftwareVersion]
    splits: tuple[VersionSplit, ...] = ()
    is_readable: bool = True
    read_ms: float = 0.0


class OriginStore:
    """Keeps one row for each service; one instance writes it, whenever a version comes or is over.

    After a start of all instances nobody remembers which versions served before. If the row and the
    server list name only one, every stream was begun by it. Otherwise the row's splits tell which
    version began a stream, unless it is stored as an exception.
    """

    def __init__(
        self,
        context: Context,
        table: PartitionedTable,
        book: ServerRegistry,
        history: OriginHistory,
        is_fleet_known: Callable[[], bool],
        store: Dependency,
    ) -> None:
        """Use the parts handed in.

        :param is_fleet_known: returns whether the list of instances was received.
        :param store: tracks whether the store answers.
        """
        self._store = store
        self._clock = StoreClock(context)
        #: Streams that did not begin at the assigned version.
        self.exceptions = StreamExceptions(context, table, self._clock)
        self._context = context
        self._table = table
        self._book = book
        self._history = history
        self._is_fleet_known = is_fleet_known
        self.unreadable = UnreadableRows(VERSIONS_TABLE)
        self._failures = FailureLog(context.clock, 'task')
        #: Known rows of services.
        self._rows: dict[ServiceName, _StoredRow] = {}
        self._first_read_lock = BoundedSemaphore()
        self._first_read_from_ms = 0.0

    def start(self, tasks: Tasks) -> None:
        """Start writing the rows that this instance is responsible for."""
        self._failures = tasks.failures
        tasks.supervise(self._run)
        tasks.supervise(self._run_cleanup)

    def load(self, services: Iterable[ServiceName]) -> StoredOrigins | None:
        """Read what is stored on the streams of services; ``None`` without an answer."""
        by_service: dict[ServiceName, StoredVersions] = {}
        for service in services:
            row = self._read_row(service)
            if row is None:
                return None
            by_service[service] = StoredVersions(row.versions, row.splits)
        # Read last: streams that began meanwhile may be exceptions of the splits read.
        exceptions = self.exceptions.read_all()
        if isinstance(exceptions, PlatformFailure):
            return None
        return StoredOrigins(by_service, exceptions, self._clock.now_ms, self._split_life_ms)

    def assigned_version(self, service: ServiceName, key: int) -> SoftwareVersion | Assignment:
        """Return the version that must begin a stream."""
        if self.exceptions.is_in_doubt(key):
            return Assignment.UNKNOWN
        begun_at = self.exceptions.origin(key)
        if begun_at is not None and begun_at.service == service:
            return begun_at.version
        if not any(origin.version for origin in self._history.origins({service})):
            return Assignment.ANY
        # A version that is missing in the list may have a split and be back soon.
        self._read_first(service)
        row = self._rows.get(service)
        if row is None:
            return Assignment.UNKNOWN if self._has_several(service) else Assignment.ANY
        version = row.splits[-1].version_of(key) if row.splits else None
        return Assignment.UNKNOWN if version is None else version

    def is_certain(self, key: int, origin: StreamOrigin) -> bool:
        """Return whether the store tells where a stream began, as far as this instance knows."""
        if self.exceptions.origin(key) == origin:
            return True
        row = self._rows.get(origin.service)
        if row is None or not row.splits:
            return False
        now_ms, life_ms = self._clock.now_ms, self._split_life_ms
        return possible_versions(row.splits, key, now_ms, life_ms) == {origin.version}

    def save_uncertain(self, begun: Sequence[BegunStream]) -> None:
        """Store streams of which several splits name different versions, as far as there is room.

        Without it they are rejected after a loss of all instances.
        """
        services = {each.origin.service for each in begun}
        several = {service for service in services if self._has_several(service)}
        streams = [
            each
            for each in begun
            if each.origin.service in several and not self.is_certain(each.key, each.origin)
        ]
        streams = streams[: self.exceptions.room_count]
        if streams and self._is_responsive:
            self.exceptions.save(streams)

    def save_exception(self, key: int, origin: StreamOrigin, life_ms: float) -> bool:
        """Store that a stream begins at another version than the assigned one.

        :returns: whether it is stored; otherwise it must not begin there.
        """
        if self._is_responsive:
            return self.exceptions.save([BegunStream(key, origin, life_ms)])
        log.info(
            'stream.not_begun',
            extra={
                'service': origin.service,
                'version': origin.version,
                'store_unanswered_ms': round(self._store.unanswered_ms),
            },
        )
        return False

    @property
    def _split_life_ms(self) -> float:
        return self._history.window_ms + SPLIT_LAG_MS

    @property
    def _is_responsive(self) -> bool:
        return self._store.unanswered_ms < STORE_UNRESPONSIVE_MS

    def _has_several(self, service: ServiceName) -> bool:
        return len(self._history.origins({service})) > 1

    def _run(self) -> None:
        while True:
            pause_ms = CHECK_EVERY_MS if self.check_all() else RETRY_MS
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)

    def _run_cleanup(self) -> None:
        while True:
            gevent.sleep(self._context.jittered_ms(CLEANUP_EVERY_MS) / 1e3)
            if self._book.topology.is_first_registrar(EXCEPTIONS_TABLE):
                self.exceptions.remove_expired()

    def check_all(self) -> bool:
        """Write the rows that have changed; return whether the store answered."""
        if not self._is_fleet_known():
            return True
        for service in {origin.service for origin in self._book.origins}:
            try:
                if not self._check_service(service):
                    return False
            except Exception:
                # The rows of the other services must still be written.
                self._failures.record_failure('OriginStore.check', service=service)
        return True

    def _check_service(self, service: ServiceName) -> bool:
        """Write or read the row of a service if that is due; return whether the store answered."""
        if self._book.topology.is_first_registrar(service):
            return self._check(service)
        if self._is_followed(service):
            return self._follow(service)
        return True

    def _is_followed(self, service: ServiceName) -> bool:
        """Return whether to read the row of a service that another instance writes.

        It tells which version begins streams, should the store be away when a second one comes.
        """
        known = self._rows.get(service)
        if known is None:
            return self._has_several(service) or self._context.random.random() < FIRST_READ_SHARE
        return self._has_several(service) or not known.splits

    def _read_first(self, service: ServiceName) -> None:
        """Read the row of a service unless it is known; streams that begin meanwhile wait."""
        if service in self._rows:
            return
        with self._first_read_lock:
            is_due = self._context.now_ms() >= self._first_read_from_ms
            if service in self._rows or not is_due or not self._is_responsive:
                return
            if not self._follow(service):
                self._first_read_from_ms = self._context.now_ms() + STORE_UNRESPONSIVE_MS

    def _follow(self, service: ServiceName) -> bool:
        """Read the row that another instance writes, if that is due."""
        known = self._rows.get(service)
        if known is not None and not self._is_read_due(known):
            return True
        row = self._read_row(service)
        if row is None:
            return False
        if known is None or known.row_version != row.row_version:
            log.info(
                'versions.followed',
                extra={
                    'service': service,
                    'row_version': row.row_version,
                    'split': dict(row.splits[-1].weights) if row.splits else {},
                    'splits': len(row.splits),
                    'read_before_ms': None if known is None else round(row.read_ms - known.read_ms),
                },
            )
        self._rows[service] = row
        return True

    def _is_read_due(self, known: _StoredRow) -> bool:
        return self._context.now_ms() - known.read_ms >= FOLLOW_EVERY_MS

    def _check(self, service: ServiceName) -> bool:
        """Write the row of a service if it has changed; return whether the store answered."""
        stored = self._rows.get(service)
        is_settled = self._history.is_complete and not self._has_several(service)
        if stored is None or (not is_settled and self._is_read_due(stored)):
            # A late write of an earlier incarnation or another writer may have replaced it.
            stored = self._read_row(service)
            if stored is None:
                return False
            self._rows[service] = stored
        versions = frozenset(origin.version for origin in self._history.origins({service}))
        if not self._history.is_complete:
            if not stored.is_readable:
                return True
            versions |= stored.versions
        splits = self._next_splits(service, stored)
        if len(versions) > VERSIONS_LIMIT:
            return True
        if versions == stored.versions and splits == stored.splits:
            return True
        return self._write(service, stored, versions, splits)

    def _next_splits(self, service: ServiceName, stored: _StoredRow) -> tuple[VersionSplit, ...]:
        """Return the splits by the servers that accept work now."""
        weights = Counter(
            str(state.listed.software_version)
            for state in self._book.states()
            if state.listed.service == service and not state.listed.is_leaving
        )
        if not weights or not all(weights):
            return stored.splits
        if len(weights) == 1:
            weights = Counter(dict.fromkeys(weights, 1))
        if stored.splits and stored.splits[-1].weights == weights:
            return stored.splits
        before = stored.splits
        if not before and stored.row_version:
            # The row was written by an instance of an earlier version.
            before = (VersionSplit(),)
        return tuple(next_splits(before, weights, self._clock.now_ms, self._split_life_ms))

    def _write(
        self,
        service: ServiceName,
        stored: _StoredRow,
        versions: frozenset[SoftwareVersion],
        splits: tuple[VersionSplit, ...],
    ) -> bool:
        condition = RowCondition(VERSIONS_TABLE, service, stored.row_version)
        value = msgspec.json.encode(VersionsRow(sorted(versions), list(splits)))
        put = RowPut(VERSIONS_TABLE, service, value)
        answer = self._table.transact(PartTransaction('', (condition,), (put,)))
        is_written = isinstance(answer, PartCommitted)
        log.info(
            'versions.stored',
            extra={
                'service': service,
                'versions': sorted(versions),
                'split': dict(splits[-1].weights) if splits else {},
                'written': is_written,
            },
        )
        if isinstance(answer, PartCommitted):
            self._rows[service] = _StoredRow(
                answer.version, versions, splits, read_ms=self._context.now_ms()
            )
            return True
        self._rows.pop(service, None)
        return not isinstance(answer, PlatformFailure)

    def _read_row(self, service: ServiceName) -> _StoredRow | None:
        """Read a row; ``None`` if the store does not answer."""
        listing = self._table.read(VERSIONS_TABLE, '', service, limit=1)
        if isinstance(listing, PlatformFailure):
            log.info(
                'versions.not_read', extra={'service': service, 'reason': listing.reason.value}
            )
            return None
        self._clock.observe(listing.store_ms)
        row = next((each for each in listing.rows if each.key == service), None)
        if row is None or row.value is None:
            return _StoredRow(0, frozenset(), read_ms=self._context.now_ms())
        try:
            decoded = decode_json(row.value, VersionsRow)
        except UnreadableBytesError as error:
            self.unreadable.log_once(row.key, row.version, error.message)
            return _StoredRow(row.version, frozenset(), is_readable=False)
        except Exception:
            self.unreadable.log_failure(row.key, row.version)
            return _StoredRow(row.version, frozenset(), is_readable=False)
        return _StoredRow(
            row.version,
            frozenset(SoftwareVersion(each) for each in decoded.versions),
            tuple(decoded.splits),
            read_ms=self._context.now_ms(),
        )
