"""Endpoints for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import bottle
import msgspec

from citrondyke.decisions.audit.report import build_report, read_records
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.proposal import (
    ConfigConflict,
    ConfigProposal,
    ConfigRejection,
)
from citrondyke.decisions.core.commit import CommitFailure, CommitFailureReason
from citrondyke.decisions.core.ops import scan_rows
from citrondyke.decisions.jobs.job_request import JobRejection
from citrondyke.decisions.jobs.rows import OpenRow, open_prefix
from citrondyke.entry.bodies import decode_body, read_body
from citrondyke.entry.job_schemas import batch_fields
from citrondyke.entry.jobs_endpoint import error_for_job_rejection
from citrondyke.entry.operator_schemas import (
    JobSummary,
    JobView,
    MemberView,
    ServerReport,
    StatusReport,
)
from citrondyke.entry.responses import json_response
from citrondyke.errors import (
    ConfigConflictError,
    InvalidFieldError,
    PlatformUnavailableError,
    RunState,
)
from citrondyke.ids import ConfigVersion, JobId
from citrondyke.storage.failure import PlatformFailure
from citrondyke.util.numbers import parse_count, parse_decimal, read_count

if TYPE_CHECKING:
    from citrondyke.decisions.jobs.sweeper import JobCounts
    from citrondyke.entry.entry_context import EntryContext

__all__ = ('OperatorEndpoint',)

HISTORY_LIMIT = 200
JOBS_LIMIT = 200
#: Maximum number of records in one response.
RECORDS_LIMIT = 100_000
LATEST_EPOCH_MS = 1e15
PLATFORM_RETRY_MS = 2000.0


class OperatorEndpoint:
    """Handles requests of operators."""

    def __init__(self, context: EntryContext) -> None:
        """Initialize the endpoint."""
        self._context = context

    def config(self) -> bytes:
        """Answer ``GET /operator/v1/config``."""
        self._authenticate()
        return json_response(self._context.instance.config_replica.current.snapshot())

    def propose(self) -> bytes:
        """Answer ``POST /operator/v1/config``."""
        operator_id = self._authenticate()
        limits = self._context.settings.limits
        body = read_body(limits.body_bytes, limits.body_within_ms)
        proposal = decode_body(body, ConfigProposal)
        result = self._context.driver.run(self._context.instance.propose(proposal, operator_id))
        match result:
            case ConfigChange():
                return json_response(result)
            case ConfigConflict():
                raise ConfigConflictError(_conflict_message(result))
            case ConfigRejection():
                raise InvalidFieldError(f'{result.field}: allowed: {result.allowed}')
            case CommitFailure():
                may_be_written = result.reason is CommitFailureReason.MAYBE_WRITTEN
                run = RunState.UNKNOWN if may_be_written else RunState.NOT_RUN
                raise PlatformUnavailableError(run=run, retry_in_ms=PLATFORM_RETRY_MS)

    def history(self) -> bytes:
        """Answer ``GET /operator/v1/config/history?after=N``."""
        self._authenticate()
        after = parse_count(bottle.request.query.get('after', '0'))
        if after is None:
            raise InvalidFieldError('after must be a version number')
        changes = self._context.driver.run(
            self._context.instance.config_replica.history(ConfigVersion(after), HISTORY_LIMIT)
        )
        if changes is None:
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        return json_response(changes)

    def status(self) -> bytes:
        """Answer ``GET /operator/v1/status``."""
        self._authenticate()
        instance = self._context.instance
        members = [
            MemberView(
                id=peer.id,
                zone=peer.zone,
                listed=peer.state.value,
                state=state.value if (state := instance.members.state_of(peer.id)) else 'unknown',
            )
            for peer in instance.members.peers()
        ]
        return json_response(
            StatusReport(
                instance_id=instance.context.instance_id,
                zone=instance.context.zone,
                config_version=instance.config_replica.current.version,
                is_ready=instance.is_ready,
                is_leaving=instance.members.is_leaving,
                session=instance.session.session,
                open_calls=self._context.open_calls,
                held_segments=instance.worker.held_count,
                members=members,
                servers=self._servers(),
            )
        )

    def histograms(self) -> bytes:
        """Answer ``GET /operator/v1/histograms``."""
        self._authenticate()
        with_tenants = bottle.request.query.get('tenants') == 'yes'
        return json_response(self._context.metrics.report(with_tenants=with_tenants))

    def report(self) -> bytes:
        """Answer ``GET /operator/v1/report?class=C&from=MS&to=MS``."""
        self._authenticate()
        class_name = bottle.request.query.get('class') or None
        report = self._context.driver.run(build_report(class_name, *_time_range()))
        if isinstance(report, PlatformFailure):
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        return json_response(report)

    def records(self) -> bytes:
        """Answer ``GET /operator/v1/records?from=MS&to=MS``."""
        self._authenticate()
        records = self._context.driver.run(read_records(*_time_range(), RECORDS_LIMIT))
        if isinstance(records, PlatformFailure):
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        return json_response(records)

    def jobs(self) -> bytes:
        """Answer ``GET /operator/v1/jobs`` with the open jobs of each target by deadline."""
        self._authenticate()
        found: list[JobSummary] = []
        for target in self._context.instance.fleet.targets():
            rows = self._context.driver.run(scan_rows(open_prefix(target), '', JOBS_LIMIT))
            if isinstance(rows, PlatformFailure):
                raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
            for row in rows:
                _, _, deadline, job_id = row.key.rsplit('/', 3)
                open_row = msgspec.json.decode(row.value, type=OpenRow)
                found.append(
                    JobSummary(
                        job_id=JobId(job_id),
                        tenant_id=open_row.tenant_id,
                        target=target,
                        deadline_epoch_ms=float(read_count(deadline, 'deadline of a job')),
                        segments_count=open_row.segments_count,
                        is_stopping=open_row.is_stopping,
                    )
                )
        return json_response(found)

    def job(self, job_id: str) -> bytes:
        """Answer ``GET /operator/v1/jobs/<id>`` with progress and forecast."""
        self._authenticate()
        instance = self._context.instance
        job = self._context.driver.run(instance.acceptance.find_job(None, JobId(job_id)))
        if isinstance(job, JobRejection):
            raise error_for_job_rejection(job)
        counts = self._context.driver.run(instance.sweeper.count(job.job_id))
        if counts is None:
            raise PlatformUnavailableError(retry_in_ms=PLATFORM_RETRY_MS)
        forecast_epoch_ms = None
        if not job.row.state.is_final:
            forecast_epoch_ms = self._forecast(
                job.row.created_epoch_ms, counts, job.row.items_count
            )
        return json_response(
            JobView(
                batch=batch_fields(job, counts),
                forecast_epoch_ms=forecast_epoch_ms,
                deadline_epoch_ms=job.row.deadline_epoch_ms,
                is_at_risk=(forecast_epoch_ms or 0.0) > job.row.deadline_epoch_ms,
            )
        )

    def cancel_job(self, job_id: str) -> bytes:
        """Answer ``POST /operator/v1/jobs/<id>/cancel``."""
        self._authenticate()
        result = self._context.driver.run(self._context.instance.cancel_job(None, JobId(job_id)))
        if isinstance(result, JobRejection):
            raise error_for_job_rejection(result)
        return json_response({'job_id': result.job_id, 'state': result.row.state.value})

    def _forecast(self, created_epoch_ms: float, counts: JobCounts, total: int) -> float | None:
        """Return when a job will finish at its average rate so far.

        Returns ``None`` if no item has finished yet.
        """
        done = counts.succeeded_count + counts.failed_count
        now_ms = self._context.clock.epoch_ms()
        elapsed_ms = now_ms - created_epoch_ms
        if not done or elapsed_ms <= 0:
            return None
        return now_ms + (total - done) * elapsed_ms / done

    def _servers(self) -> list[ServerReport]:
        instance = self._context.instance
        now_ms = self._context.clock.now_ms()
        reports: list[ServerReport] = []
        for view in instance.fleet.views():
            share = instance.steward.share(view.listed.id)
            reports.append(
                ServerReport(
                    id=view.listed.id,
                    target=view.listed.target,
                    zone=view.listed.zone,
                    steward=instance.steward.steward_of(view.listed.id) or '',
                    is_leaving=not view.accepts_work,
                    is_ejected=view.ejected_until_ms > now_ms,
                    online_count=view.load_at(now_ms),
                    online_limit=view.online_limit,
                    batch_count=share.batch_count if share is not None else None,
                    fill_limit=share.fill_limit(now_ms) if share is not None else None,
                )
            )
        return reports

    def _authenticate(self) -> str:
        return self._context.authenticate_operator(bottle.request.headers.get('Authorization'))


def _time_range() -> tuple[float, float]:
    query = bottle.request.query
    from_ms = parse_decimal(query.get('from', '0'), -LATEST_EPOCH_MS, LATEST_EPOCH_MS)
    to_ms = parse_decimal(query.get('to', '1e15'), -LATEST_EPOCH_MS, LATEST_EPOCH_MS)
    if from_ms is None or to_ms is None:
        raise InvalidFieldError('from and to must be milliseconds since 1970')
    return from_ms, to_ms


def _conflict_message(conflict: ConfigConflict) -> str:
    changes: list[Any] = [
        f'version {change.version} by {change.who}: '
        + ', '.join(edit.name for edit in change.edits)
        for change in conflict.changes
    ]
    changes_text = '; '.join(changes) or 'see the history of the configuration'
    return (
        f'the configuration is at version {conflict.current_version}; changed since: {changes_text}'
    )
