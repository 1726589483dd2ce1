"""What an instance believes of the configuration and the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.forwarding.replicated_config import ReplicatedConfig
from citrondyke.decisions.forwarding.replicated_rows import ObservedRow, ReplicatedRows
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
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


#: Rows of servers that are remembered as decoded, or twice those that are listed.
DECODED_LIMIT = 2_000


class RowDecoder(msgspec.Struct, frozen=True):
    """How the operator's and the servers' rows are read."""

    config_key: str
    config: Callable[[bytes], RouteTable]
    server: Callable[[str, bytes], ServerListEntry]


class ReplicatedState:
    """Takes in rows from the store and from peers, and logs what changes."""

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
        """Start believing nothing.

        :param on_server_gone: called for each server that is listed no more.
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
        #: Reads show all rows each second, few of them changed.
        self._decoded_rows: dict[str, ObservedRow[ServerListEntry]] = {}
        self._config_version = 0
        #: The newest configuration may hold routes that are not known here.
        self._is_config_unreadable = False
        self._reconciled_revision = -1
        self._on_reconciled: Callable[[], None] | None = None
        self._unreadable_configs = UnreadableRows('configuration')
        self._unreadable_servers = UnreadableRows('servers')

    def on_reconciled(self, call: Callable[[], None]) -> None:
        """Have something called whenever the list of servers was taken in."""
        self._on_reconciled = call

    @property
    def is_complete(self) -> bool:
        """Tell whether requests can be served by them."""
        return self.config.table.version > 0 and self.has_servers

    @property
    def is_config_readable(self) -> bool:
        """Tell whether the newest configuration of the store is the one that is known."""
        return not self._is_config_unreadable

    def on_config_changes(self, rows: Iterable[PartRow]) -> None:
        """Take in changes of the operator's table."""
        self._apply_config_rows(rows)

    def on_config_listing(self, rows: Iterable[PartRow], _: int) -> None:
        """Take in a read of the operator's table."""
        self._apply_config_rows(rows)
        self.on_config_current()

    def on_config_current(self) -> None:
        """Take note that the store holds no newer configuration than the one that was seen."""
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
                self._config_version = row.version
                self._is_config_unreadable = False
            except UnreadableBytesError as error:
                self._unreadable_configs.log_once(row.key, row.version, error.message)
                self._is_config_unreadable = True

    def apply_config(self, raw: bytes, source: str) -> None:
        """Take in a configuration as the operator wrote it.

        :raises UnreadableBytesError: when the bytes hold none.
        """
        self.apply_route_table(self._decoder.config(raw), source)

    def apply_route_table(self, table: RouteTable, source: str) -> None:
        """Take in a configuration."""
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
        """Take in changes of the list of servers."""
        self._servers.apply_feed(self._decoded(rows), self._context.now_ms())
        self.has_servers = self.has_servers or bool(self._servers.values())
        self.reconcile('feed')

    def on_servers_current(self) -> None:
        """Take note that all changes of the list of servers were seen."""
        self.reconcile('look')

    def on_server_listing(self, rows: Iterable[PartRow], version: int) -> None:
        """Take in a read of the list of servers."""
        self._servers.apply_listing(self._decoded(rows), version, self._context.now_ms())
        self.has_servers = True
        self.reconcile('read')

    @property
    def list_revision(self) -> int:
        """Give the number of changes of the list of servers so far."""
        return self._servers.revision

    @property
    def servers_count(self) -> int:
        """Count the servers in the list."""
        return self._servers.count

    @property
    def list_digest(self) -> int:
        """Give a digest of the list of servers; equal lists have equal ones."""
        return self._servers.digest

    def servers_since(self, revision: int) -> list[ObservedRow[ServerListEntry]] | None:
        """Give the rows of the servers that changed since; ``None`` where that is not known."""
        return self._servers.changes_since(revision)

    def server_rows(self) -> tuple[list[ObservedRow[ServerListEntry]], int]:
        """Give the rows of the servers, and the version as of which they were listed."""
        return self._servers.rows(), self._servers.version

    def merge_servers(
        self, rows: list[ObservedRow[ServerListEntry]], version: int, *, is_whole: bool
    ) -> None:
        """Take in the servers that a peer knows.

        :param is_whole: whether the peer heard from the store just now, so that a server which it
            does not list is gone.
        """
        now_ms = self._context.now_ms()
        if is_whole:
            self._servers.apply_listing(rows, version, now_ms)
        else:
            self._servers.apply_feed(rows, now_ms)
        self.has_servers = self.has_servers or bool(rows)
        self.reconcile('peer')

    def reconcile(self, source: str) -> None:
        """Make the list of servers what the rows say by now."""
        now_ms = self._context.now_ms()
        if self._store.is_lost:
            self._servers.record_outage(now_ms)
        self._servers.drop_missing(now_ms)
        if self._on_reconciled is not None:
            self._on_reconciled()
        if self._servers.revision == self._reconciled_revision:
            return
        self._reconciled_revision = self._servers.revision
        listed = self._servers.values()
        leaving_before = {
            state.listed.id for state in self._book.states() if state.listed.is_leaving
        }
        change = self._book.replace(listed)
        for state in change.went:
            self._on_server_gone(state)
        for state in change.restarted:
            self._on_incarnation_ended(state)
        leaving = [
            entry.id for entry in listed if entry.is_leaving and entry.id not in leaving_before
        ]
        if change or leaving:
            log.info(
                'servers.changed',
                extra={
                    'source': source,
                    'came': change.came,
                    'went': [state.listed.id for state in change.went],
                    'lives_over': [state.incarnation for state in change.restarted],
                    'leaving': leaving,
                    'count': len(listed),
                    'store_version': self._servers.version,
                },
            )

    def _decoded(self, rows: Iterable[PartRow]) -> list[ObservedRow[ServerListEntry]]:
        seen: list[ObservedRow[ServerListEntry]] = []
        for row in rows:
            if row.value is None:
                seen.append(ObservedRow(row.key, row.version, None))
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
            decoded = ObservedRow(row.key, row.version, server, server.born_epoch_ms)
            self._decoded_rows[row.key] = decoded
            seen.append(decoded)
        if len(self._decoded_rows) > max(DECODED_LIMIT, 2 * self._servers.count):
            self._decoded_rows.clear()
        return seen
