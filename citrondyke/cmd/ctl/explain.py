"""``citrondykectl explain``: the history of a request, job or item from log files."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from rich.table import Table

from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.errors.log_unreadable import LogUnreadableError
from citrondyke.errors.unknown_id import UnknownIdError
from citrondyke.operator.explanation import Explanation, explain
from citrondyke.operator.log_events import LogEvent, read_log_events

__all__ = ('explain_id', 'explanation_tables')

HIDDEN = frozenset(('time', 'at_ms', 'event', 'level', 'instance'))


def explain_id(wanted: str, *files: Path) -> Explanation:
    """Collect the log lines about a request, job or item, and find the cause.

    :raises CtlError: if a file cannot be read, or the id is not found in the files.
    """
    if not files:
        raise CtlError(ExitCode.WRONG_CALL, 'give at least one log file')
    try:
        return explain(wanted, read_log_events(files))
    except LogUnreadableError as error:
        raise CtlError(ExitCode.WRONG_CALL, error.message) from error
    except UnknownIdError as error:
        raise CtlError(ExitCode.NOT_FOUND, error.message) from error


def explanation_tables(explanation: Explanation) -> Iterator[Table | str]:
    """Show the history, the state of the instances at the time, and the cause."""
    yield _events(f'history of {explanation.wanted}', explanation.course)
    if explanation.around:
        yield _events('state of the instances and its changes', explanation.around)
    yield f'Cause: {explanation.cause}'
    for line in explanation.missing:
        yield f'Missing: {line}'


def _events(title: str, events: list[LogEvent]) -> Table:
    table = Table(title=title, title_justify='left')
    for column in ('time', 'instance', 'event', 'says'):
        table.add_column(column, overflow='fold')
    for event in events:
        moment = datetime.fromtimestamp(event.time_s, UTC)
        fields = ' '.join(
            f'{name}={value}' for name, value in event.fields.items() if name not in HIDDEN
        )
        table.add_row(f'{moment:%H:%M:%S.%f}'[:-3], event.instance, event.event, fields)
    return table
