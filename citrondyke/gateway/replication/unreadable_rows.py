"""Log of rows that cannot be decoded, once per version."""

from __future__ import annotations

import logbook

__all__ = ('UnreadableRows',)

log = logbook.Logger(__name__)

#: Limit on rows remembered as logged; beyond it a row may be logged again.
REMEMBERED_LIMIT = 1_000


class UnreadableRows:
    """Logs each undecodable row once: tables are read each second, and a row may stay for hours."""

    def __init__(self, table: str) -> None:
        """Start with nothing logged.

        :param table: names the table in the log.
        """
        self._table = table
        self._logged: dict[str, int] = {}

    def log_once(self, key: str, version: int, detail: str) -> None:
        """Log a row unless this version of it was logged."""
        if self._logged.get(key) == version:
            return
        self._logged.pop(key, None)
        self._logged[key] = version
        if len(self._logged) > REMEMBERED_LIMIT:
            del self._logged[next(iter(self._logged))]
        log.warning(
            'row.unreadable',
            extra={'table': self._table, 'key': key, 'version': version, 'detail': detail},
        )
