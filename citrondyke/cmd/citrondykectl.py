"""``citrondykectl``, the command line tool for operators."""

from __future__ import annotations

import sys
from datetime import datetime
from pathlib import Path
from typing import Annotated
from urllib.parse import urlencode

import msgspec
from cyclopts import App, Parameter

from citrondyke.cmd.ctl import tables
from citrondyke.cmd.ctl.accounts import (
    accounts_table,
    merge_suspects,
    read_states,
    suspects_table,
)
from citrondyke.cmd.ctl.client import OperatorClient
from citrondyke.cmd.ctl.config import class_app, config_app, tenant_app
from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.explain import explain_id, explanation_tables
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.cmd.ctl.jobs import jobs_app
from citrondyke.cmd.ctl.losses import draw_losses, losses_from_logs, losses_tables, read_losses
from citrondyke.cmd.ctl.options import Options
from citrondyke.cmd.ctl.show import console, show
from citrondyke.decisions.audit.record import OutcomeRecord
from citrondyke.decisions.audit.report import AuditReport
from citrondyke.driver.virtual.replay import replay as run_trace
from citrondyke.driver.virtual.trace import events_from_records, read_trace
from citrondyke.driver.virtual.trace_outcome import TraceOutcome
from citrondyke.entry.operator_schemas import StatusReport
from citrondyke.operator.account_report import merge_states
from citrondyke.operator.request_metrics import MetricsReport

__all__ = ('app', 'main')

app = App(
    name='citrondykectl',
    help="""Operate citrondyke.

    Set the instance with --server or CITRONDYKE_SERVER, and the key with --key or
    CITRONDYKE_KEY. Exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict, 4 not found,
    5 not allowed, 6 not reachable or not ready.
    """,
)
for _group in (config_app, class_app, tenant_app, jobs_app):
    app.command(_group)

app.register_install_completion_command()

Shared = Annotated[Options, Parameter(name='*')]


@app.command
def status(options: Shared = Options()) -> None:  # noqa: B008
    """Show instances, zones, the configuration version, servers and their stewards."""
    answer = OperatorClient(options).get('/operator/v1/status', StatusReport)
    show(options, answer, tables.status_table)


@app.command
def histograms(
    *,
    class_name: Annotated[str | None, Parameter(name='--class')] = None,
    tenant: str | None = None,
    options: Shared = Options(),  # noqa: B008
) -> None:
    """Show histograms of the requests of this instance, by class or tenant."""
    with_tenants = '?tenants=yes' if tenant else ''
    path = f'/operator/v1/histograms{with_tenants}'
    report = OperatorClient(options).get(path, MetricsReport)
    groups = report.by_tenant if tenant else report.by_class
    wanted = tenant or class_name
    if wanted is not None:
        if wanted not in groups:
            raise CtlError(ExitCode.NOT_FOUND, f'this instance has seen no requests of {wanted}')
        groups = {wanted: groups[wanted]}
    show(options, groups, tables.histogram_tables)


@app.command
def report(
    *,
    class_name: Annotated[str | None, Parameter(name='--class')] = None,
    from_: Annotated[datetime | None, Parameter(name='--from')] = None,
    to: datetime | None = None,
    verify: bool = False,
    options: Shared = Options(),  # noqa: B008
) -> None:
    """Show how many targets were met and missed, according to the sealed records.

    With --verify, exit with code 1 if a record is missing or was altered.
    """
    query = urlencode({'class': class_name or '', **_time_range(from_, to)})
    found = OperatorClient(options).get(f'/operator/v1/report?{query}', AuditReport)
    show(options, found, tables.report_tables)
    if verify and found.faults:
        raise CtlError(ExitCode.FAILED, f'the audit records have {len(found.faults)} faults')


@app.command
def record(
    file: Path,
    *,
    from_: Annotated[datetime | None, Parameter(name='--from')] = None,
    to: datetime | None = None,
    like: Path,
    options: Shared = Options(),  # noqa: B008
) -> None:
    """Convert the records of a time range to a trace for replay.

    The requests come from the records. Servers, classes and the number of instances are taken
    from the first line of the trace LIKE.
    """
    path = f'/operator/v1/records?{urlencode(_time_range(from_, to))}'
    records = OperatorClient(options).get(path, list[OutcomeRecord])
    events = events_from_records(records)
    lines = [read_trace(like).header, *events]
    file.write_bytes(b''.join(msgspec.json.encode(line) + b'\n' for line in lines))
    console.print(f'{len(events)} events written to {file}')


@app.command
def replay(trace: Path, *, json: bool = False) -> None:
    """Replay a trace in virtual time and compare with its expected outcome, if there is one.

    The expected outcome is read from the file with the suffix ``.outcome.json`` beside the trace.
    Exits with code 1 if the outcome differs.

    Example: ``citrondykectl replay traces/march_morning.jsonl``.
    """
    options = Options(json=json)
    try:
        outcome = run_trace(read_trace(trace))
    except (OSError, ValueError) as error:
        raise CtlError(ExitCode.WRONG_CALL, f'{trace}: {error}') from error
    show(options, outcome, tables.outcome_table)
    expected_file = trace.with_suffix('.outcome.json')
    if not expected_file.exists():
        return
    expected = msgspec.json.decode(expected_file.read_bytes(), type=TraceOutcome)
    if expected != outcome:
        raise CtlError(ExitCode.FAILED, f'the outcome differs from the expected one: {expected}')


@app.command
def accounts(*addresses: str, json: bool = False) -> None:
    """Show client accounts with their limits, uses in the window and rejections.

    Only the steward of an account knows its window, so give the addresses of all instances.

    Example: ``citrondykectl accounts 10.1.0.35:9464 10.1.0.36:9464``.

    :param addresses: metrics addresses of the instances.
    """
    show(Options(json=json), merge_states(read_states(addresses)), accounts_table)


@app.command
def suspects(*addresses: str, json: bool = False) -> None:
    """Show requests that are suspected of crashing servers or blocked for it, and why.

    :param addresses: metrics addresses of the instances.
    """
    show(Options(json=json), merge_suspects(read_states(addresses)), suspects_table)


@app.command(name='explain')
def explain(wanted: str, *files: Path, json: bool = False) -> None:
    """Show the log lines of several instances about a request, job or item, and the cause.

    Example: ``citrondykectl explain 9c41d07be2a35f68 edge-*.log``.
    """
    show(Options(json=json), explain_id(wanted, *files), explanation_tables)


@app.command(name='losses')
def losses(
    *files: Path,
    target: tuple[str, ...] = (),
    window_s: float = 2.0,
    before: Path | None = None,
    plot: Path | None = None,
    json: bool = False,
) -> None:
    """Attribute each lost or late request and item to a cause, from the logs of all instances.

    Example: ``citrondykectl losses edge-*.log --target r-a22d3kh=300 --before last.json``.

    :param files: log files of all instances.
    :param target: ROUTE=MS: the time to the first answer, or from the acceptance of a job until
        its items are durable; * stands for all other routes of requests.
    :param window_s: length of the time windows in which losses are counted.
    :param before: a report of another run, written with --json, to compare with.
    :param plot: image file for a plot of the causes over time.
    :param json: print the report as JSON.
    """
    report = losses_from_logs(files, target, window_s)
    report_before = read_losses(before) if before else None
    if plot is not None:
        draw_losses(report, plot)
    show(Options(json=json), report, lambda found: losses_tables(found, report_before))


def _time_range(from_: datetime | None, to: datetime | None) -> dict[str, str]:
    times = {'from': from_, 'to': to}
    return {name: str(time.timestamp() * 1e3) for name, time in times.items() if time}


def main() -> None:
    """Run the program; the exit code depends on the kind of failure."""
    try:
        app()
    except CtlError as failure:
        print(f'citrondykectl: {failure.message}', file=sys.stderr)
        sys.exit(failure.exit_code.value)


if __name__ == '__main__':
    main()
