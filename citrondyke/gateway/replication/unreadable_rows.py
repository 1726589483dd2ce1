"""Log of rows that cannot be decoded or applied, once per version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from citrondyke.storage.partitioned_table import PartRow

__all__ = ('UnreadableRows',)

log = logbook.Logger(__name__)

#: Limit on rows remembered as logged; beyond it a row may be logged again.
REMEMBERED_LIMIT = 1_000


class UnreadableRows:
    """Logs each such row once: tables are read each second, and a row may stay for hours."""

    def __init__(self, table: str, age_ms: Callable[[], float] | None = None) -> None:
        """Start with nothing logged.

        :param table: names the table in the log.
        :param age_ms: returns the age of the local copy of the table, for the log.
        """
        self._table = table
        self._age_ms = age_ms
        #: Newest versions that were logged.
        self._logged: dict[str, int] = {}
        self._unreadable: set[str] = set()
        #: Versions of rows that were logged.
        self.count = 0

    def log_once(self, key: str, version: int, detail: str) -> None:
        """Log a row that cannot be decoded, unless this version of it was logged."""
        if self._is_first(key, version):
            extra = {**self._place(key, version), 'detail': detail}
            log.warning('row.unreadable', extra=extra)

    def log_failure(self, key: str, version: int) -> None:
        """Log the unexpected exception that is being handled, once per version of the row."""
        if self._is_first(key, version):
            log.exception('row.failed', extra=self._place(key, version))

    def record_readable(self, key: str, version: int) -> None:
        """Log the recovery of a row that was logged, unless an older version was read late."""
        if key in self._unreadable and version > self._logged[key]:
            self._unreadable.discard(key)
            log.info('row.recovered', extra=self._place(key, version))

    def apply_each(self, rows: Iterable[PartRow], apply: Callable[[PartRow], None]) -> None:
        """Apply rows one by one; an exception is logged and costs only its own row."""
        for row in rows:
            try:
                apply(row)
            except Exception:
                self.log_failure(row.key, row.version)

    def _is_first(self, key: str, version: int) -> bool:
        if version <= self._logged.get(key, -1):
            return False
        self._logged.pop(key, None)
        self._logged[key] = version
        self._unreadable.add(key)
        self.count += 1
        if len(self._logged) > REMEMBERED_LIMIT:
            oldest = next(iter(self._logged))
            del self._logged[oldest]
            self._unreadable.discard(oldest)
        return True

    def _place(self, key: str, version: int) -> dict[str, object]:
        place: dict[str, object] = {'table': self._table, 'key': key, 'version': version}
        if self._age_ms is not None:
            place['age_ms'] = round(min(1e9, self._age_ms()))
        return place
