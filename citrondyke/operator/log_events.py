"""Log lines of several instances, read as events in the order of their times."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from citrondyke.errors.log_unreadable import LogUnreadableError

__all__ = ('LogEvent', 'LogEvents', 'read_log_events')


class LogEvent(msgspec.Struct, frozen=True):
    """One line."""

    time_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Give a field; ``None`` where the line has none."""
        return self.fields.get(name)


class LogEvents(msgspec.Struct):
    """All lines that could be read."""

    events: list[LogEvent] = []
    #: Lines that are no whole event, such as one that was cut when its process was killed.
    unreadable_count: int = 0
    #: Lines that an instance says it left out, by kind.
    left_out: dict[str, int] = {}


def read_log_events(files: Iterable[Path]) -> LogEvents:
    """Read files of JSON lines; text before a line's first brace is passed over.

    :raises LogUnreadableError: when a file cannot be read or holds no event at all.
    """
    found = LogEvents()
    for file in files:
        _read_file(file, found)
    found.events.sort(key=lambda event: event.time_s)
    return found


def _read_file(file: Path, found: LogEvents) -> None:
    before = len(found.events)
    try:
        with file.open('rb') as lines:
            for line in lines:
                _read_line(line, found)
    except OSError as error:
        raise LogUnreadableError(str(file), error.strerror or str(error)) from error
    if len(found.events) == before:
        raise LogUnreadableError(str(file), 'no event in it')


def _read_line(line: bytes, found: LogEvents) -> None:
    start = line.find(b'{')
    if start < 0:
        return
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError):
        found.unreadable_count += 1
        return
    event = fields.get('event')
    if event == 'log.left_out' and isinstance(fields.get('counts'), dict):
        for kind, count in fields['counts'].items():
            found.left_out[kind] = found.left_out.get(kind, 0) + int(count)
        return
    if not isinstance(event, str) or 'time' not in fields:
        return
    try:
        time_s = float(fields['time'])
    except (TypeError, ValueError):
        found.unreadable_count += 1
        return
    found.events.append(LogEvent(time_s, str(fields.get('instance', '')), event, fields))
