"""Tables that ``citrondykectl`` prints for people."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

from rich.progress_bar import ProgressBar
from rich.table import Table

from citrondyke.decisions.audit.report import AuditReport
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.configuration import ConfigSnapshot
from citrondyke.decisions.configuration.entries import (
    ClassEntry,
    ClassKind,
    ConfigEntry,
    OperatorEntry,
    ServiceEntry,
    TenantEntry,
    entry_name,
)
from citrondyke.driver.virtual.trace_outcome import TraceOutcome
from citrondyke.entry.operator_schemas import JobSummary, JobView, StatusReport
from citrondyke.operator.histogram import HistogramData, SparseHistogram
from citrondyke.operator.terminal import histogram_table

__all__ = (
    'config_table',
    'edits_table',
    'histogram_tables',
    'history_table',
    'job_view',
    'jobs_table',
    'outcome_table',
    'report_tables',
    'status_table',
)

BAR_WIDTH = 40


def config_table(snapshot: ConfigSnapshot) -> Iterator[Table]:
    """Show all entries."""
    table = _table(f'configuration, version {snapshot.version}', 'entry', 'says')
    for entry in sorted(snapshot.entries, key=entry_name):
        table.add_row(entry_name(entry), _describe(entry))
    yield table


def edits_table(edits: list[dict[str, Any]]) -> Iterator[Table | str]:
    """Show the edits that ``apply`` would make."""
    if not edits:
        yield 'no difference'
        return
    table = _table('pending edits', 'entry', 'to')
    for edit in edits:
        table.add_row(edit['name'], str(edit['after'] or 'removed'))
    yield table


def history_table(changes: list[ConfigChange]) -> Iterator[Table]:
    """Show the accepted changes."""
    table = _table('history', 'version', 'when', 'who', 'entry', 'before', 'after')
    for change in changes:
        for edit in change.edits:
            table.add_row(
                str(change.version),
                _time(change.accepted_at_epoch_ms),
                change.who,
                edit.name,
                _describe(edit.before),
                _describe(edit.after),
            )
    yield table


def status_table(report: StatusReport) -> Iterator[Table | str]:
    """Show an instance, its peers and the backend servers."""
    yield (
        f'{report.instance_id} in {report.zone}: version {report.config_version}, '
        f'{report.open_calls} calls, {report.held_segments} segments held'
    )
    members = _table('other instances', 'instance', 'zone', 'listed', 'believed')
    for member in report.members:
        members.add_row(member.id, member.zone, member.listed, member.state)
    yield members
    servers = _table(
        'backend servers', 'server', 'zone', 'target', 'steward', 'online', 'batch', 'state'
    )
    for server in report.servers:
        state = 'leaving' if server.is_leaving else 'ejected' if server.is_ejected else 'in use'
        batch = '' if server.batch_count is None else f'{server.batch_count}/{server.fill_limit}'
        servers.add_row(
            server.id,
            server.zone,
            server.target,
            server.steward,
            f'{server.online_count}/{server.online_limit}',
            batch,
            state,
        )
    yield servers


def jobs_table(jobs: list[JobSummary]) -> Iterator[Table]:
    """Show the open jobs."""
    table = _table('open jobs', 'job', 'tenant', 'target', 'deadline', 'segments', 'state')
    for job in jobs:
        table.add_row(
            job.job_id,
            job.tenant_id,
            job.target,
            _time(job.deadline_epoch_ms),
            str(job.segments_count),
            'stopping' if job.is_stopping else 'open',
        )
    yield table


def job_view(view: JobView) -> Iterator[Any]:
    """Show one job."""
    batch = view.batch
    counts = batch['request_counts']
    done = counts['completed'] + counts['failed']
    yield f'{batch["id"]}: {batch["status"]}, class {batch["citrondyke"]["class"]}'
    yield ProgressBar(total=max(1, counts['total']), completed=done, width=BAR_WIDTH)
    yield f'{done} of {counts["total"]} items, {counts["failed"]} failed'
    if view.forecast_epoch_ms is not None:
        risk = '[red]at risk[/red]' if view.is_at_risk else 'on time'
        yield (
            f'forecast {_time(view.forecast_epoch_ms)}, '
            f'deadline {_time(view.deadline_epoch_ms)}: {risk}'
        )


def report_tables(report: AuditReport) -> Iterator[Table | str]:
    """Show targets met and missed, and faults in the records."""
    table = _table(
        f'{report.objects_count} sealed objects',
        'class',
        'requests',
        'kept',
        'missed',
        'jobs on time',
        'items with outcome',
        'outcomes',
    )
    for name, entry in sorted(report.classes.items()):
        table.add_row(
            name,
            str(entry.requests_count),
            str(entry.kept_count),
            str(entry.missed_count),
            f'{entry.jobs_on_time_count}/{entry.jobs_ended_count}/{entry.jobs_accepted_count}',
            f'{entry.items_with_outcome_count}/{entry.items_accepted_count}',
            ', '.join(f'{code} {count}' for code, count in sorted(entry.outcomes.items())),
        )
    yield table
    for fault in report.faults:
        yield f'{fault.instance_id}, object {fault.number}: {fault.kind} {fault.detail}'


def outcome_table(outcome: TraceOutcome) -> Iterator[Table]:
    """Show the outcome of a replayed trace."""
    table = _table('outcome', 'what', 'came to')
    table.add_row('chats', str(outcome.chats))
    table.add_row('first token in time', str(outcome.chats_in_time))
    table.add_row('orders', str(outcome.orders))
    table.add_row('most runs of one order', str(outcome.order_runs_most))
    for name, job in outcome.jobs.items():
        on_time = 'on time' if job.is_on_time else 'late'
        table.add_row(f'job {name}', f'{job.state}, {job.succeeded}+{job.failed}, {on_time}')
    yield table


def histogram_tables(groups: dict[str, dict[str, HistogramData]]) -> Iterator[Table | str]:
    """Show histograms."""
    if not groups:
        yield 'no requests seen yet'
    for name, quantities in groups.items():
        for quantity, data in quantities.items():
            histogram = SparseHistogram()
            histogram.merge(data)
            yield histogram_table(f'{name}: {quantity}', histogram)


def _describe(entry: ConfigEntry | None) -> str:
    match entry:
        case None:
            return '-'
        case ClassEntry(kind=ClassKind.ONLINE):
            return (
                f'online: first token in {entry.first_token_target_ms:g} ms, '
                f'then each {entry.token_gap_target_ms:g} ms'
            )
        case ClassEntry():
            by = entry.finish_by_minute_utc
            until = '' if by is None else f' and by {by // 60:02d}:{by % 60:02d} UTC'
            return f'batch: within {entry.finish_within_ms / 1000:g} s{until}'
        case TenantEntry():
            return (
                f'{len(entry.key_hashes)} keys, online {entry.online_class}, '
                f'batch {entry.batch_class}'
            )
        case ServiceEntry():
            return 'may be repeated' if entry.is_repeatable else 'at most once'
        case OperatorEntry():
            return f'{len(entry.key_hashes)} keys'


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column)
    return table


def _time(epoch_ms: float) -> str:
    return datetime.fromtimestamp(epoch_ms / 1e3, UTC).strftime('%Y-%m-%d %H:%M:%S')
