"""Versions that the servers of each service had lately, stored for a start of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import gevent
import logbook
import msgspec

from citrondyke.decisions.streams.stream_origin import OriginView, StreamOrigin
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows
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
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.streams.origin_history import OriginHistory
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


class VersionsRow(msgspec.Struct, frozen=True):
    """Row of a service: every version whose streams may still be resumed."""

    versions: Annotated[list[str], msgspec.Meta(max_length=VERSIONS_LIMIT)]


class _StoredRow(msgspec.Struct, frozen=True):
    #: 0 if there is no row.
    row_version: int
    versions: frozenset[SoftwareVersion]
    is_readable: bool = True


class OriginStore:
    """Keeps one row for each service; one instance writes it, whenever a version comes or is over.

    After a start of all instances nobody remembers which versions served before. If the row and the
    server list name only one, every stream was begun by it.
    """

    def __init__(
        self,
        context: Context,
        table: PartitionedTable,
        book: ServerRegistry,
        history: OriginHistory,
        is_fleet_known: Callable[[], bool],
    ) -> None:
        """Use the parts handed in.

        :param is_fleet_known: returns whether the list of instances was received.
        """
        self._context = context
        self._table = table
        self._book = book
        self._history = history
        self._is_fleet_known = is_fleet_known
        self._unreadable = UnreadableRows(VERSIONS_TABLE)
        #: Rows of the services that this instance is responsible for.
        self._rows: dict[ServiceName, _StoredRow] = {}

    def start(self, tasks: Tasks) -> None:
        """Start writing the rows that this instance is responsible for."""
        tasks.supervise(self._run)

    def read(self, services: Iterable[ServiceName]) -> OriginView | None:
        """Read which origins streams can have; ``None`` if that is not stored or not readable."""
        origins: set[StreamOrigin] = set()
        for service in services:
            row = self._read_row(service)
            if row is None or not row.versions or not row.is_readable:
                return None
            origins.update(StreamOrigin(service, version) for version in row.versions)
        return OriginView(frozenset(origins), is_complete=True)

    def _run(self) -> None:
        while True:
            pause_ms = CHECK_EVERY_MS if self.check_all() else RETRY_MS
            gevent.sleep(self._context.jittered_ms(pause_ms) / 1e3)

    def check_all(self) -> bool:
        """Write the rows that have changed; return whether the store answered."""
        if not self._is_fleet_known():
            return True
        for service in {origin.service for origin in self._book.origins}:
            if self._book.topology.registrars(service)[0] != self._context.instance_id:
                self._rows.pop(service, None)
            elif not self._check(service):
                return False
        return True

    def _check(self, service: ServiceName) -> bool:
        """Write the row of a service if it has changed; return whether the store answered."""
        stored = self._rows.get(service)
        if stored is None:
            stored = self._read_row(service)
            if stored is None:
                return False
            self._rows[service] = stored
        versions = frozenset(origin.version for origin in self._history.origins({service}))
        if not self._history.is_complete:
            if not stored.is_readable:
                return True
            versions |= stored.versions
        if versions == stored.versions or len(versions) > VERSIONS_LIMIT:
            return True
        return self._write(service, stored, versions)

    def _write(
        self, service: ServiceName, stored: _StoredRow, versions: frozenset[SoftwareVersion]
    ) -> bool:
        condition = RowCondition(VERSIONS_TABLE, service, stored.row_version)
        value = msgspec.json.encode(VersionsRow(sorted(versions)))
        put = RowPut(VERSIONS_TABLE, service, value)
        answer = self._table.transact(PartTransaction('', (condition,), (put,)))
        is_written = isinstance(answer, PartCommitted)
        log.info(
            'versions.stored',
            extra={'service': service, 'versions': sorted(versions), 'written': is_written},
        )
        if isinstance(answer, PartCommitted):
            self._rows[service] = _StoredRow(answer.version, versions)
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
        row = next((each for each in listing.rows if each.key == service), None)
        if row is None or row.value is None:
            return _StoredRow(0, frozenset())
        try:
            decoded = decode_json(row.value, VersionsRow)
        except UnreadableBytesError as error:
            self._unreadable.log_once(row.key, row.version, error.message)
            return _StoredRow(row.version, frozenset(), is_readable=False)
        return _StoredRow(
            row.version, frozenset(SoftwareVersion(each) for each in decoded.versions)
        )
