"""Log handler that writes JSON lines."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec
from logbook.base import LogRecord

__all__ = ('JsonLinesHandler',)


class JsonLinesHandler(logbook.Handler):
    """Writes each record as one line of JSON on standard error."""

    def __init__(self, level: str, static_fields: dict[str, str]) -> None:
        """Create a handler of records from a level on.

        :param static_fields: fields of every line.
        """
        super().__init__(logbook.lookup_level(level))
        self._static_fields = static_fields

    def emit(self, record: LogRecord) -> None:
        """Write a record."""
        line: dict[str, Any] = {
            'time': record.time.isoformat(),
            'level': record.level_name,
            'logger': record.channel,
            'message': record.message,
            **self._static_fields,
            **record.extra,
        }
        if record.formatted_exception:
            line['exception'] = record.formatted_exception
        sys.stderr.buffer.write(msgspec.json.encode(line, enc_hook=str) + b'\n')
        sys.stderr.buffer.flush()
