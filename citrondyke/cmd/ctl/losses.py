"""``citrondykectl losses``: lost and late requests and items by cause, from log files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
from rich.table import Table

from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.errors.log_unreadable import LogUnreadableError
from citrondyke.operator.log_events import read_log_events
from citrondyke.operator.loss_causes import find_losses
from citrondyke.operator.loss_report import LossReport

__all__ = ('draw_losses', 'losses_from_logs', 'losses_tables', 'read_losses')

#: Largest number of causes in a plot; more colors could not be told apart.
MAX_DRAWN_CAUSES = 8


def losses_from_logs(
    files: tuple[Path, ...], targets: tuple[str, ...], window_s: float
) -> LossReport:
    """Read log files and count the lost and late requests and items.

    :param targets: latency targets, each in the form ROUTE=MS.
    :raises CtlError: if a file cannot be read, or a target or the window is invalid.
    """
    if not files:
        raise CtlError(ExitCode.WRONG_CALL, 'give at least one log file')
    if window_s <= 0:
        raise CtlError(ExitCode.WRONG_CALL, '--window-s: must be greater than 0 seconds')
    try:
        return find_losses(read_log_events(files), _parse_targets(targets), window_s)
    except LogUnreadableError as error:
        raise CtlError(ExitCode.WRONG_CALL, error.message) from error


def read_losses(file: Path) -> LossReport:
    """Read a report written with ``--json``.

    :raises CtlError: if the file cannot be read or is not a report.
    """
    try:
        return msgspec.json.decode(file.read_bytes(), type=LossReport)
    except (OSError, msgspec.DecodeError) as error:
        raise CtlError(ExitCode.WRONG_CALL, f'{file}: {error}') from error


def losses_tables(report: LossReport, before: LossReport | None) -> Iterator[Table | str]:
    """Show the causes, with the counts of an earlier run for comparison."""
    table = Table(
        title=f'{report.requests_count} requests, {report.items_count} items of batch jobs',
        title_justify='left',
    )
    columns = ['cause', 'route', 'count', *(['before'] if before else []), 'an id to explain']
    for column in columns:
        table.add_column(column, justify='right' if column in ('count', 'before') else 'left')
    counts_before = before.counts() if before else {}
    for loss in report.losses:
        before_column = [str(counts_before.pop((loss.route, loss.cause), 0))] if before else []
        table.add_row(loss.cause.value, loss.route, str(loss.count), *before_column, loss.example)
    for (route, cause), count in counts_before.items():
        table.add_row(cause.value, route, '0', str(count), '')
    yield table
    for line in report.missing:
        yield f'Missing: {line}'


def draw_losses(report: LossReport, file: Path) -> None:
    """Plot the most frequent causes over time.

    :raises CtlError: if the plotting library is not installed, or the file cannot be written.
    """
    try:
        import matplotlib as mpl

        mpl.use('Agg')
        import matplotlib.pyplot as plt
    except ImportError as error:
        reason = "the plotting library is not installed; install citrondyke with the extra 'bench'"
        raise CtlError(ExitCode.FAILED, reason) from error
    figure, axes = plt.subplots(figsize=(9, 4.5))
    windows = max((max(loss.by_window, default=0) for loss in report.losses), default=0) + 1
    window_starts_s = [window * report.window_s for window in range(windows)]
    bottoms = [0] * windows
    for loss in report.losses[:MAX_DRAWN_CAUSES]:
        counts = [loss.by_window.get(window, 0) for window in range(windows)]
        label = f'{loss.cause.value} {loss.route}'.strip()
        axes.bar(
            window_starts_s,
            counts,
            report.window_s * 0.9,
            bottom=bottoms,
            align='edge',
            label=label,
        )
        bottoms = [low + count for low, count in zip(bottoms, counts, strict=True)]
    axes.set_xlabel('seconds since the first log line')
    axes.set_ylabel(f'lost or late in {report.window_s:g} s')
    if report.losses:
        axes.legend(fontsize='small')
    figure.tight_layout()
    try:
        figure.savefig(file)
    except (OSError, ValueError) as error:
        raise CtlError(ExitCode.WRONG_CALL, f'{file}: {error}') from error
    finally:
        plt.close(figure)


def _parse_targets(pairs: tuple[str, ...]) -> dict[str, float]:
    targets = {}
    for pair in pairs:
        route, _, value = pair.rpartition('=')
        try:
            targets[route] = float(value)
        except ValueError as error:
            reason = f'--target {pair}: must have the form ROUTE=MS, for example r-a22d3kh=300'
            raise CtlError(ExitCode.WRONG_CALL, reason) from error
    return targets
