"""Track which rows of a followed table exist despite stale reads and outages of the store."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any, Generic, TypeVar

import msgspec

from citrondyke.decisions.server_list.server_list_change_log import ServerListChangeLog
from citrondyke.util.hashing import content_hash

__all__ = ('ObservedRow', 'ReplicatedRows')

Value = TypeVar('Value')

#: Deletions and incarnations that are remembered. Reads lag by seconds, and no fleet replaces this
#: many servers in that time.
TOMBSTONES_LIMIT = 2_000


class ObservedRow(msgspec.Struct, Generic[Value], frozen=True, omit_defaults=True):
    """One row from a read or a feed; ``value`` is ``None`` if it holds nothing usable."""

    key: str
    version: int
    value: Value | None
    #: Start of the incarnation that wrote it; ``None`` if not stated.
    born_epoch_ms: int | None = None
    #: The row exists, but another writer wrote it, so that it holds nothing usable.
    is_foreign: bool = False
    #: An instance of an earlier version passed the row on and left a part of it out.
    is_partial: bool = False


class ReplicatedRows(Generic[Value]):
    """Keep the newest state of each row; never go back to an older one.

    After an outage of the store, missing rows are dropped late: servers that could not renew their
    rows return within ``grace_ms`` of the store's return. Dropping the rows at once would leave
    callers without a server although all servers work.
    """

    def __init__(self, grace_ms: float) -> None:
        """Start empty.

        :param grace_ms: time from the end of an outage until a missing row counts as deleted.
        """
        self._grace_ms = grace_ms
        self._rows: dict[str, ObservedRow[Value]] = {}
        #: Versions up to which writes of a deleted key are outdated, so that a stale read does not
        #: restore the row.
        self._outdated_versions: dict[str, int] = {}
        #: The latest incarnation seen of each key. A write of an earlier incarnation may take
        #: effect seconds late, after the next one's. If it were applied, requests would name an
        #: incarnation that has exited.
        self._latest_born: dict[str, int] = {}
        #: Rows to be dropped unless they return, with the time at which that happens.
        self._missing: dict[str, float] = {}
        self._grace_until_ms = 0.0
        #: Versions as of which rows were deleted, for peers.
        self._deleted_versions: dict[str, int] = {}
        self._change_log = ServerListChangeLog()
        self.version = 0
        #: Digest of the keys and versions of all existing rows.
        self.digest = 0

    @property
    def revision(self) -> int:
        """Return the number of changes so far."""
        return self._change_log.number

    def values(self) -> list[Value]:
        """Return the values of the existing rows."""
        return [row.value for row in self._rows.values() if row.value is not None]

    @property
    def count(self) -> int:
        """Count the existing rows."""
        return len(self._rows)

    def rows(self) -> list[ObservedRow[Value]]:
        """Return the existing rows."""
        return list(self._rows.values())

    def changes_since(self, revision: int) -> list[ObservedRow[Value]] | None:
        """Return the rows that changed after a revision, in their current state.

        :returns: ``None`` if the change log does not reach back to the revision.
        """
        keys = self._change_log.changed_since(revision)
        if keys is None:
            return None
        found: list[ObservedRow[Value]] = []
        for key in keys:
            row = self._rows.get(key)
            if row is None:
                deleted_at = self._deleted_versions.get(key)
                if deleted_at is None:
                    return None
                row = ObservedRow(key, deleted_at, None)
            found.append(row)
        return found

    def record_outage(self, now_ms: float) -> None:
        """Record that the store did not answer."""
        self._grace_until_ms = now_ms + self._grace_ms

    def apply(self, row: ObservedRow[Value], now_ms: float) -> None:
        """Apply one row."""
        known = self._rows.get(row.key)
        if self._is_outdated(row, known):
            return
        if row.is_foreign:
            # The server's own entry no longer exists, so the row is removed even within the grace
            # time of an outage.
            _record_version(self._outdated_versions, row.key, row.version)
            _record_version(self._deleted_versions, row.key, row.version)
            self._remove(row.key)
            return
        if row.value is None:
            _record_version(self._outdated_versions, row.key, row.version)
            if known is not None:
                self._drop(row.key, row.version, now_ms, row.version)
            return
        digest_change = _row_digest(row) ^ (0 if known is None else _row_digest(known))
        if row.born_epoch_ms is not None:
            self._latest_born[row.key] = row.born_epoch_ms
            _evict_oldest(self._latest_born)
        self._missing.pop(row.key, None)
        self._rows[row.key] = row
        self.digest ^= digest_change
        self._change_log.record_change(row.key, len(self._rows))

    def apply_feed(self, rows: Iterable[ObservedRow[Value]], now_ms: float) -> None:
        """Apply changes in order."""
        for row in rows:
            self.apply(row, now_ms)

    def apply_listing(
        self, rows: Iterable[ObservedRow[Value]], version: int, now_ms: float
    ) -> None:
        """Apply a full listing as of a version.

        A listing older than the known version removes nothing.
        """
        present = set()
        for row in rows:
            present.add(row.key)
            self.apply(row, now_ms)
        self.complete_listing(present, version, now_ms)

    def complete_listing(self, present: Collection[str], version: int, now_ms: float) -> None:
        """Drop the rows that a full listing as of a version lacks, after its rows were applied.

        :param present: keys of all rows of the listing.
        """
        if version < self.version:
            return
        self.version = version
        for key, known in list(self._rows.items()):
            if key not in present and known.version <= version:
                self._drop(key, known.version, now_ms, max(version, known.version + 1))

    def drop_missing(self, now_ms: float) -> None:
        """Drop the rows that have been missing for the grace time."""
        for key, due_ms in list(self._missing.items()):
            if due_ms <= now_ms:
                self._remove(key)

    def _is_outdated(self, row: ObservedRow[Value], known: ObservedRow[Value] | None) -> bool:
        """Return whether a row is outdated, by incarnation if stated, else by version."""
        deleted = self._outdated_versions.get(row.key, 0)
        born, latest_born = row.born_epoch_ms, self._latest_born.get(row.key)
        if born is not None and latest_born is not None and born != latest_born:
            return born < latest_born or row.version <= deleted
        newest = max(known.version if known else 0, deleted)
        if row.version == newest:
            is_completed = known is not None and known.is_partial and not row.is_partial
            return row.key not in self._missing and not is_completed
        return row.version < newest

    def _drop(self, key: str, version: int, now_ms: float, deleted_version: int) -> None:
        """Drop a row, after the grace time if the store had an outage.

        :param version: version up to which writes of it are outdated.
        :param deleted_version: version as of which the store did not hold it, later than its last
            write.
        """
        _record_version(self._outdated_versions, key, version)
        _record_version(self._deleted_versions, key, deleted_version)
        if now_ms >= self._grace_until_ms:
            self._remove(key)
            return
        self._missing.setdefault(key, self._grace_until_ms)

    def _remove(self, key: str) -> None:
        self._missing.pop(key, None)
        row = self._rows.pop(key, None)
        if row is not None:
            self.digest ^= _row_digest(row)
            self._change_log.record_change(key, len(self._rows))


def _row_digest(row: ObservedRow[Any]) -> int:
    return content_hash(f'{row.key}\0{row.version}'.encode())


def _record_version(versions: dict[str, int], key: str, version: int) -> None:
    versions[key] = max(version, versions.get(key, 0))
    _evict_oldest(versions)


def _evict_oldest(remembered: dict[str, int]) -> None:
    if len(remembered) > TOMBSTONES_LIMIT:
        remembered.pop(min(remembered, key=remembered.__getitem__))
