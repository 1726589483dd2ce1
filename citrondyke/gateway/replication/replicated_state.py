"""An instance's replica of the configuration and the server list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
from citrondyke.decisions.forwarding.replicated_rows import ObservedRow, ReplicatedRows
from citrondyke.decisions.server_list.list_freshness import ListFreshness
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.replication.unreadable_rows import UnreadableRows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.route_table import RouteTable
    from citrondyke.decisions.forwarding.server_list_entry import ServerListEntry
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.decisions.forwarding.server_state import ServerState
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.storage.partitioned_table import PartRow

__all__ = ('ReplicatedState', 'RowDecoder')

log = logbook.Logger(__name__)


#: Limit on cached decoded server rows, unless twice the number of listed servers is larger.
DECODED_LIMIT = 2_000


class RowDecoder(msgspec.Struct, frozen=True):
    """Decoders of the configuration row and of the server rows."""

    config_key: str
    config: Callable[[bytes], RouteTable]
    server: Callable[[str, bytes], ServerListEntry]


class ReplicatedState:
    """Replica of the configuration and the server list, possibly stale.

    Merges rows from the store and from peers, applies the server list to the server registry, and
    logs what changes.
    """

    def __init__(
        self,
        context: Context,
        decoder: RowDecoder,
        book: ServerRegistry,
        store: Dependency,
        lapsed_grace_ms: float,
        on_server_gone: Callable[[ServerState], None],
        on_incarnation_ended: Callable[[ServerState], None],
    ) -> None:
        """Start empty.

        :param lapsed_grace_ms: time after an outage of the store until a missing server is removed.
        :param on_server_gone: called for each server that was removed from the list.
        :param on_incarnation_ended: called for each incarnation of a server that another one
            has replaced.
        """
        self.config = ReplicatedConfig()
        self.has_servers = False
        self._context = context
        self._decoder = decoder
        self._book = book
        self._store = store
        self._servers: ReplicatedRows[ServerListEntry] = ReplicatedRows(lapsed_grace_ms)
        self._on_server_gone = on_server_gone
        self._on_incarnation_ended = on_incarnation_ended
        #: Cache of decoded rows: reads return all rows each second, and few of them have changed.
        self._decoded_rows: dict[str, ObservedRow[ServerListEntry]] = {}
        self._config_version = 0
        #: While set, the newest configuration may have routes that are not known here.
        self._is_config_unreadable = False
        self._reconciled_revision = -1
        self._on_reconciled: Callable[[], None] | None = None
        self._applied_ms = float('-inf')
        self._freshness = ListFreshness()
        self._unreadable_configs = UnreadableRows('configuration', lambda: self.config_age_ms)
        self._unreadable_servers = UnreadableRows('servers', lambda: self.list_age_ms)
        #: Exceptions while the list was applied or its changes were reported.
        self.failures = FailureLog(context.clock, 'list')

    def on_reconciled(self, call: Callable[[], None]) -> None:
        """Set the callback for each update of the server list."""
        self._on_reconciled = call

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and servers are known, so that requests can be served."""
        return self.config.table.version > 0 and self.has_servers

    @property
    def is_config_readable(self) -> bool:
        """Whether the newest configuration of the store could be decoded."""
        return not self._is_config_unreadable

    @property
    def config_age_ms(self) -> float:
        """Time since the store last confirmed the configuration."""
        return self.config.age_ms(self._context.now_ms())

    @property
    def list_age_ms(self) -> float:
        """Time since the server list was last received from the store and applied here.

        It grows while the list cannot be applied, although the store answers.
        """
        return self._context.now_ms() - self._applied_ms

    @property
    def is_list_stale(self) -> bool:
        """Whether the server list was too old at the last ``update_freshness``."""
        return self._freshness.is_stale

    def update_freshness(self, interval_factor: float) -> None:
        """Track and log whether the server list is too old, once there is one.

        :param interval_factor: factor by which store calls are rarer than in a small fleet.
        """
        age_ms = self.list_age_ms
        if self.has_servers and self._freshness.update(age_ms, interval_factor):
            log.info(
                'list.stale' if self.is_list_stale else 'list.fresh',
                extra={
                    'age_ms': round(min(1e9, age_ms)),
                    'count': self.servers_count,
                    'is_applied': self.is_reconciled,
                    'is_store_lost': self._store.is_lost,
                },
            )

    @property
    def unreadable_rows_count(self) -> int:
        """Number of versions of rows that could not be decoded or applied."""
        return self._unreadable_configs.count + self._unreadable_servers.count

    def on_config_changes(self, rows: Iterable[PartRow]) -> None:
        """Apply changes of the configuration table."""
        self._apply_config_rows(rows)

    def on_config_listing(self, rows: Iterable[PartRow], _: int) -> None:
        """Apply a full read of the configuration table."""
        self._apply_config_rows(rows)
        self.on_config_current()

    def on_config_current(self) -> None:
        """Record that the store holds no newer configuration than the one that was read."""
        if not self._is_config_unreadable:
            self.config.confirm(self._context.now_ms())

    def _apply_config_rows(self, rows: Iterable[PartRow]) -> None:
        for row in rows:
            if row.key != self._decoder.config_key or row.value is None:
                continue
            if row.version == self._config_version:
                continue
            try:
                self.apply_config(row.value, 'store')
            except UnreadableBytesError as error:
                self._unreadable_configs.log_once(row.key, row.version, error.message)
                self._is_config_unreadable = True
            except Exception:
                self._unreadable_configs.log_failure(row.key, row.version)
                self._is_config_unreadable = True
            else:
                self._config_version = row.version
                self._is_config_unreadable = False
                self._unreadable_configs.record_readable(row.key, row.version)

    def apply_config(self, raw: bytes, source: str) -> None:
        """Decode and apply a configuration as the operator wrote it.

        :raises UnreadableBytesError: if the bytes are not a valid configuration.
        """
        self.apply_route_table(self._decoder.config(raw), source)

    def apply_route_table(self, table: RouteTable, source: str) -> None:
        """Apply a decoded configuration if it is newer."""
        before = self.config.table.version
        age_ms = self.config.age_ms(self._context.now_ms())
        if self.config.update_if_newer(table):
            log.info(
                'config.taken',
                extra={
                    'source': source,
                    'version': table.version,
                    'version_before': before,
                    'routes': len(table.routes),
                    'accounts': None if table.accounts is None else len(table.accounts),
                    'confirmed_age_ms': round(min(age_ms, 1e9)),
                },
            )

    def on_server_rows(self, rows: Iterable[PartRow]) -> None:
        """Apply changes of the server list."""
        self._apply_rows(self._decoded(rows))
        self.has_servers = self.has_servers or bool(self._servers.values())
        self._reconcile_current('feed')

    def on_servers_current(self) -> None:
        """Record that all changes of the server list were read."""
        self._reconcile_current('look')

    def on_server_listing(self, rows: Iterable[PartRow], version: int) -> None:
        """Apply a full read of the server list."""
        self._apply_listing(self._decoded(rows), version)
        self.has_servers = True
        self._reconcile_current('read')

    @property
    def list_revision(self) -> int:
        """Number of changes of the server list so far."""
        return self._servers.revision

    @property
    def servers_count(self) -> int:
        """Number of servers in the list."""
        return self._servers.count

    @property
    def list_digest(self) -> int:
        """Digest of the server list; equal lists have equal digests."""
        return self._servers.digest

    def servers_since(self, revision: int) -> list[ObservedRow[ServerListEntry]] | None:
        """Return the server rows that changed since a revision; ``None`` if that is not known."""
        return self._servers.changes_since(revision)

    def server_rows(self) -> tuple[list[ObservedRow[ServerListEntry]], int]:
        """Return the server rows and the version of the table that they reflect."""
        return self._servers.rows(), self._servers.version

    def merge_servers(
        self, rows: list[ObservedRow[ServerListEntry]], version: int, *, is_whole: bool
    ) -> None:
        """Merge the server rows of a peer.

        :param is_whole: whether the peer has just read the store, so that a server missing from
            ``rows`` was removed.
        """
        rows = [_marked_if_partial(row) for row in rows]
        if is_whole:
            self._apply_listing(rows, version)
        else:
            self._apply_rows(rows)
        self.has_servers = self.has_servers or bool(rows)
        self.reconcile('peer')

    def record_list_current(self, age_ms: float) -> None:
        """Record that the list that is applied here was the store's a while ago.

        :param age_ms: time since the store sent it, to this instance or to its reader.
        """
        if self.is_reconciled:
            self._applied_ms = max(self._applied_ms, self._context.now_ms() - age_ms)

    @property
    def is_reconciled(self) -> bool:
        """Whether the server registry has the current list."""
        return self._reconciled_revision == self._servers.revision

    def reconcile(self, source: str) -> None:
        """Update the server registry from the rows; rows may also have expired since.

        The list counts as applied only once all of that has been done: after an exception the next
        call applies it again. Each callback runs even if another one has failed.

        :param source: what caused the update, for the log.
        """
        now_ms = self._context.now_ms()
        if self._store.is_lost:
            self._servers.record_outage(now_ms)
        self._servers.drop_missing(now_ms)
        if self._on_reconciled is not None:
            self.failures.attempt('on_reconciled', self._on_reconciled)
        revision = self._servers.revision
        if revision == self._reconciled_revision:
            return
        try:
            self._apply_list(source)
        except Exception:
            age_ms = round(min(1e9, self.list_age_ms))
            self.failures.record_failure('apply', source=source, age_ms=age_ms)
            return
        self.failures.record_success('apply')
        # A callback may have let another greenlet apply a later revision.
        self._reconciled_revision = max(self._reconciled_revision, revision)

    def _reconcile_current(self, source: str) -> None:
        """Apply the list that the store has just confirmed, and record that it is current."""
        self.reconcile(source)
        self.record_list_current(0.0)

    def _apply_list(self, source: str) -> None:
        listed = self._servers.values()
        leaving_before = {
            state.listed.id for state in self._book.states() if state.listed.is_leaving
        }
        change = self._book.apply_list(listed)
        self.failures.attempt('on_replaced', self._book.notify_replaced)
        for state in change.removed:
            self.failures.attempt('on_server_gone', self._on_server_gone, state)
        for state in change.restarted:
            self.failures.attempt('on_incarnation_ended', self._on_incarnation_ended, state)
        leaving = [
            entry.id for entry in listed if entry.is_leaving and entry.id not in leaving_before
        ]
        if change or leaving:
            log.info(
                'servers.changed',
                extra={
                    'source': source,
                    'came': change.added,
                    'went': [state.listed.id for state in change.removed],
                    'lives_over': [state.incarnation for state in change.restarted],
                    'leaving': leaving,
                    'versions': _versions_by_service(listed),
                    'count': len(listed),
                    'store_version': self._servers.version,
                },
            )

    def _apply_rows(self, rows: Iterable[ObservedRow[ServerListEntry]]) -> None:
        now_ms = self._context.now_ms()
        for row in rows:
            try:
                self._servers.apply(row, now_ms)
            except Exception:
                self._unreadable_servers.log_failure(row.key, row.version)

    def _apply_listing(self, rows: list[ObservedRow[ServerListEntry]], version: int) -> None:
        self._apply_rows(rows)
        present = {row.key for row in rows}
        self._servers.complete_listing(present, version, self._context.now_ms())

    def _decoded(self, rows: Iterable[PartRow]) -> list[ObservedRow[ServerListEntry]]:
        seen: list[ObservedRow[ServerListEntry]] = []
        for row in rows:
            if row.value is None:
                seen.append(ObservedRow(row.key, row.version, None))
                self._unreadable_servers.record_readable(row.key, row.version)
                continue
            known = self._decoded_rows.get(row.key)
            if known is not None and known.version == row.version:
                seen.append(known)
                continue
            try:
                server = self._decoder.server(row.key, row.value)
            except UnreadableBytesError as error:
                self._unreadable_servers.log_once(row.key, row.version, error.message)
                seen.append(ObservedRow(row.key, row.version, None, is_foreign=True))
                continue
            except Exception:
                # One row must not keep all later changes from this instance.
                self._unreadable_servers.log_failure(row.key, row.version)
                seen.append(ObservedRow(row.key, row.version, None, is_foreign=True))
                continue
            self._unreadable_servers.record_readable(row.key, row.version)
            decoded = ObservedRow(row.key, row.version, server, server.born_epoch_ms)
            self._decoded_rows[row.key] = decoded
            seen.append(decoded)
        if len(self._decoded_rows) > max(DECODED_LIMIT, 2 * self._servers.count):
            self._decoded_rows.clear()
        return seen


def _marked_if_partial(row: ObservedRow[ServerListEntry]) -> ObservedRow[ServerListEntry]:
    """Mark a row without a software version, which instances of an earlier version leave out."""
    if row.value is None or row.value.software_version is not None:
        return row
    return msgspec.structs.replace(row, is_partial=True)


def _versions_by_service(listed: list[ServerListEntry]) -> dict[str, list[str]]:
    versions: dict[str, set[str]] = {}
    for entry in listed:
        versions.setdefault(entry.service, set()).add(entry.software_version or '')
    return {service: sorted(found) for service, found in versions.items()}
