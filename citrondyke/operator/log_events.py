"""Reads the log lines of several instances as events in order of time."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from citrondyke.errors.log_unreadable import LogUnreadableError
from citrondyke.util.numbers import parse_count

__all__ = ('LogEvent', 'LogEvents', 'read_log_events')


class LogEvent(msgspec.Struct, frozen=True):
    """One log line."""

    time_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Return a field of the line; ``None`` if it is missing."""
        return self.fields.get(name)


class LogEvents(msgspec.Struct):
    """The events of all lines that could be read."""

    events: list[LogEvent] = []
    #: Lines that are not a complete event, such as one truncated when its process was killed.
    unreadable_count: int = 0
    #: Numbers of lines that instances reported as left out, by kind.
    left_out: dict[str, int] = {}


def read_log_events(files: Iterable[Path]) -> LogEvents:
    """Read files of JSON lines; ignore text before the first brace of a line.

    :raises LogUnreadableError: when a file cannot be read or contains no event.
    """
    log_events = LogEvents()
    for file in files:
        _read_file(file, log_events)
    log_events.events.sort(key=lambda event: event.time_s)
    return log_events


def _read_file(file: Path, log_events: LogEvents) -> None:
    count_before = len(log_events.events)
    try:
        with file.open('rb') as lines:
            for line in lines:
                _read_line(line, log_events)
    except OSError as error:
        raise LogUnreadableError(str(file), error.strerror or str(error)) from error
    if len(log_events.events) == count_before:
        raise LogUnreadableError(str(file), 'no event in it')


def _read_line(line: bytes, log_events: LogEvents) -> None:
    start = line.find(b'{')
    if start < 0:
        return
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError):
        log_events.unreadable_count += 1
        return
    event = fields.get('event')
    if event == 'log.left_out' and isinstance(fields.get('counts'), dict):
        for kind, count in fields['counts'].items():
            known = log_events.left_out.get(kind, 0)
            log_events.left_out[kind] = known + (parse_count(str(count)) or 0)
        return
    if not isinstance(event, str) or 'time' not in fields:
        return
    try:
        time_s = float(fields['time'])
    except (TypeError, ValueError):
        log_events.unreadable_count += 1
        return
    log_events.events.append(LogEvent(time_s, str(fields.get('instance', '')), event, fields))
