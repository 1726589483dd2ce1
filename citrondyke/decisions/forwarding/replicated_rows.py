"""Which rows of a followed table are there, though reads lag and rows lapse in an outage."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Generic, TypeVar

import msgspec

from citrondyke.decisions.server_list.server_list_change_log import ServerListChangeLog
from citrondyke.util.hashing import content_bucket

__all__ = ('ObservedRow', 'ReplicatedRows')

Value = TypeVar('Value')

#: Deletions, and lives, that are remembered; reads lag by seconds, and no fleet replaces so many
#: servers then.
TOMBSTONES_LIMIT = 2_000


class ObservedRow(msgspec.Struct, Generic[Value], frozen=True):
    """One row as a read or a feed showed it; ``None`` where it holds nothing to use."""

    key: str
    version: int
    value: Value | None
    #: When the life that wrote it began; ``None`` where it does not say.
    born_epoch_ms: int | None = None
    #: It stands in the table, but by another writer, so that it holds nothing to use.
    is_foreign: bool = False


class ReplicatedRows(Generic[Value]):
    """The newest of all rows seen; never goes back to an older state of a row.

    Rows that are missing are dropped late after an outage: servers that could not renew theirs
    come back within ``grace_ms`` of the store's return, and dropping them at once would leave
    callers without any server although all of them work.
    """

    def __init__(self, grace_ms: float) -> None:
        """Start with nothing listed.

        :param grace_ms: from the end of an outage until a missing row counts as gone.
        """
        self._grace_ms = grace_ms
        self._rows: dict[str, ObservedRow[Value]] = {}
        #: Versions of deletions, so that a late read does not bring a row back.
        self._outdated_versions: dict[str, int] = {}
        #: The latest life seen of each key. A write of an earlier life may be done seconds late,
        #: after the next life's; taken in, requests would name a life that is over.
        self._latest_born: dict[str, int] = {}
        #: Rows to be dropped unless they come back, by the time from which that holds.
        self._missing: dict[str, float] = {}
        self._grace_until_ms = 0.0
        #: As of which versions rows were gone, for neighbours.
        self._deleted_versions: dict[str, int] = {}
        self._change_log = ServerListChangeLog()
        self.version = 0
        #: Of the keys and versions of all rows that are there.
        self.digest = 0

    @property
    def revision(self) -> int:
        """Give the number of changes so far of what is there."""
        return self._change_log.number

    def values(self) -> list[Value]:
        """Give what stands in the rows that are there."""
        return [row.value for row in self._rows.values() if row.value is not None]

    @property
    def count(self) -> int:
        """Count the rows that are there."""
        return len(self._rows)

    def rows(self) -> list[ObservedRow[Value]]:
        """Give the rows that are there."""
        return list(self._rows.values())

    def changes_since(self, revision: int) -> list[ObservedRow[Value]] | None:
        """Give the rows that changed behind a revision, as they are by now.

        :returns: ``None`` where that is not remembered any more.
        """
        keys = self._change_log.changed_since(revision)
        if keys is None:
            return None
        found: list[ObservedRow[Value]] = []
        for key in keys:
            row = self._rows.get(key)
            if row is None:
                gone = self._deleted_versions.get(key)
                if gone is None:
                    return None
                row = ObservedRow(key, gone, None)
            found.append(row)
        return found

    def record_outage(self, now_ms: float) -> None:
        """Take note that the store did not answer."""
        self._grace_until_ms = now_ms + self._grace_ms

    def apply_feed(self, rows: Iterable[ObservedRow[Value]], now_ms: float) -> None:
        """Take in changes in their order."""
        for row in rows:
            self._apply(row, now_ms)

    def apply_listing(
        self, rows: Iterable[ObservedRow[Value]], version: int, now_ms: float
    ) -> None:
        """Take in a whole listing as of a version; one older than what is known adds nothing."""
        present = set()
        for row in rows:
            present.add(row.key)
            self._apply(row, now_ms)
        if version < self.version:
            return
        self.version = version
        for key, known in list(self._rows.items()):
            if key not in present and known.version <= version:
                self._drop(key, known.version, now_ms, max(version, known.version + 1))

    def drop_missing(self, now_ms: float) -> None:
        """Drop what was missing for long enough."""
        for key, due_ms in list(self._missing.items()):
            if due_ms <= now_ms:
                self._remove(key)

    def _apply(self, row: ObservedRow[Value], now_ms: float) -> None:
        known = self._rows.get(row.key)
        if self._is_outdated(row, known):
            return
        if row.is_foreign:
            # Whoever wrote it, the server's own entry is not there any more; an outage of the
            # store is no reason to believe that it still is.
            _record_version(self._outdated_versions, row.key, row.version)
            _record_version(self._deleted_versions, row.key, row.version)
            self._remove(row.key)
            return
        if row.value is None:
            _record_version(self._outdated_versions, row.key, row.version)
            if known is not None:
                self._drop(row.key, row.version, now_ms, row.version)
            return
        if row.born_epoch_ms is not None:
            self._latest_born[row.key] = row.born_epoch_ms
            _evict_oldest(self._latest_born)
        self._missing.pop(row.key, None)
        self._rows[row.key] = row
        self.digest ^= _row_digest(row) ^ (0 if known is None else _row_digest(known))
        self._change_log.record_change(row.key, len(self._rows))

    def _is_outdated(self, row: ObservedRow[Value], known: ObservedRow[Value] | None) -> bool:
        """Tell whether a row is no news: the order is by life where stated, else by version."""
        deleted = self._outdated_versions.get(row.key, 0)
        born, latest_born = row.born_epoch_ms, self._latest_born.get(row.key)
        if born is not None and latest_born is not None and born != latest_born:
            return born < latest_born or row.version <= deleted
        newest = max(known.version if known else 0, deleted)
        if row.version == newest:
            return row.key not in self._missing
        return row.version < newest

    def _drop(self, key: str, version: int, now_ms: float, gone_version: int) -> None:
        """Drop a row.

        :param version: up to which writes of it are outdated.
        :param gone_version: as of which the store did not hold it, later than its last write.
        """
        _record_version(self._outdated_versions, key, version)
        _record_version(self._deleted_versions, key, gone_version)
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
    return content_bucket(f'{row.key}\0{row.version}'.encode())


def _record_version(versions: dict[str, int], key: str, version: int) -> None:
    versions[key] = max(version, versions.get(key, 0))
    _evict_oldest(versions)


def _evict_oldest(remembered: dict[str, int]) -> None:
    if len(remembered) > TOMBSTONES_LIMIT:
        remembered.pop(min(remembered, key=remembered.__getitem__))
