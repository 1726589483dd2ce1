"""Log records as JSON lines."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec
from logbook.base import LogRecord

__all__ = ('JsonLinesHandler',)


class JsonLinesHandler(logbook.Handler):
    """Writes each record as one line of JSON on standard error."""

    def __init__(self, level: str, constant: dict[str, str]) -> None:
        """Write from a level on.

        :param constant: fields that every line carries.
        """
        super().__init__(logbook.lookup_level(level))
        self._constant = constant

    def emit(self, record: LogRecord) -> None:
        """Write one record."""
        line: dict[str, Any] = {
            'time': record.time.isoformat(),
            'level': record.level_name,
            'logger': record.channel,
            'message': record.message,
            **self._constant,
            **record.extra,
        }
        if record.formatted_exception:
            line['exception'] = record.formatted_exception
        sys.stderr.buffer.write(msgspec.json.encode(line, enc_hook=str) + b'\n')
        sys.stderr.buffer.flush()
