"""Assigns a cause to each lost or late request and item, from the logs of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.operator.item_history import item_loss_cause
from citrondyke.operator.loss_report import Loss, LossCause, LossReport
from citrondyke.operator.stream_ends import is_unconfirmed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from citrondyke.operator.log_events import LogEvent, LogEvents

__all__ = ('find_losses',)

#: If the expected wait of a late request was at least this share of its target, it was late for
#: lack of capacity.
LATE_WAIT_SHARE = 0.25
CAUSES_BY_END = {
    'turned_away': LossCause.REJECTED,
    'over_limit': LossCause.OVER_LIMIT,
    'limit_unknown': LossCause.OVER_LIMIT,
    'key_gone': LossCause.NOT_ACCEPTED,
    'no_server': LossCause.NO_SERVER,
    'not_run': LossCause.NO_SERVER,
    'origin_unknown': LossCause.ORIGIN_LOST,
    'origin_gone': LossCause.ORIGIN_LOST,
    'broken': LossCause.ABORTED,
    'cut_midway': LossCause.ABORTED,
    'stopped': LossCause.STOPPED,
    'on_trial': LossCause.STOPPED,
    'server_failure': LossCause.SERVER_FAILED,
    'timed_out': LossCause.TIMED_OUT,
    'caller_gone': LossCause.CALLER_DISCONNECTED,
}
REJECTION_EVENTS = frozenset(('request.no_route', 'request.no_account', 'request.improper'))


def find_losses(logs: LogEvents, targets_ms: Mapping[str, float], window_s: float) -> LossReport:
    """Find the causes of all losses of requests and items.

    :param targets_ms: target by route: until the first answer of a request, or from the
        acceptance of a job until its items are durable; ``*`` applies to requests on all other
        routes. Late requests and items on routes without a target are not reported.
    :param window_s: length of the windows in which losses are counted.
    """
    from_s = logs.events[0].time_s if logs.events else 0.0
    losses = _Losses(LossReport(from_s, window_s))
    _record_requests(logs.events, targets_ms, losses)
    _record_items(logs.events, targets_ms, losses)
    report = losses.report
    report.losses.sort(key=lambda loss: -loss.count)
    report.missing += [
        f'{count} lines {kind} were left out under load'
        for kind, count in sorted(logs.left_out.items())
    ]
    if logs.unreadable_count:
        report.missing.append(f'{logs.unreadable_count} lines are truncated or not JSON')
    return report


class _Losses:
    def __init__(self, report: LossReport) -> None:
        self.report = report
        self._by_cause: dict[tuple[str, LossCause], Loss] = {}

    def record(self, cause: LossCause, route: str, time_s: float, example: str) -> None:
        loss = self._by_cause.get((route, cause))
        if loss is None:
            loss = self._by_cause[route, cause] = Loss(cause, route, example=example)
            self.report.losses.append(loss)
        window = int((time_s - self.report.from_s) // self.report.window_s)
        loss.count += 1
        loss.by_window[window] = loss.by_window.get(window, 0) + 1


class _Request(msgspec.Struct):
    sent: LogEvent | None = None
    end: LogEvent | None = None
    #: Orderly end of the last run of its stream.
    run_end: LogEvent | None = None


def _record_requests(
    events: list[LogEvent], targets_ms: Mapping[str, float], losses: _Losses
) -> None:
    requests: dict[str, _Request] = {}
    for event in events:
        request_id = str(event.get('request_id') or '')
        if event.event in REJECTION_EVENTS:
            losses.report.requests_count += 1
            losses.record(LossCause.NOT_ACCEPTED, '', event.time_s, request_id)
        elif event.event == 'request.sent':
            requests.setdefault(request_id, _Request()).sent = event
        elif event.event == 'request.end':
            requests.setdefault(request_id, _Request()).end = event
        elif event.event == 'stream.ended':
            requests.setdefault(request_id, _Request()).run_end = event
        elif event.event == 'job.refused':
            losses.record(LossCause.JOB_REJECTED, '', event.time_s, str(event.get('job_id')))
    losses.report.requests_count += len(requests)
    for request_id, request in requests.items():
        cause = _request_loss_cause(request, targets_ms)
        last = request.end or request.sent or request.run_end
        if cause is not None and last is not None:
            losses.record(cause, str(last.get('route') or ''), last.time_s, request_id)


def _request_loss_cause(request: _Request, targets_ms: Mapping[str, float]) -> LossCause | None:
    end, sent = request.end, request.sent
    if end is None:
        return LossCause.INSTANCE_LOST
    if end.get('end') != 'done':
        cause = CAUSES_BY_END.get(str(end.get('end')), LossCause.ABORTED)
        in_doubt = request.run_end is not None and is_unconfirmed(request.run_end)
        return LossCause.END_UNCONFIRMED if in_doubt and cause is LossCause.ABORTED else cause
    target_ms = targets_ms.get(str(end.get('route')), targets_ms.get('*', float('inf')))
    if float(end.get('first_ms') or 0.0) <= target_ms:
        return None
    if int(end.get('sends') or 0) > 1:
        return LossCause.LATE_RESENT
    expected_ms = float(sent.get('expected_wait_ms') or 0.0) if sent is not None else 0.0
    if expected_ms >= LATE_WAIT_SHARE * target_ms:
        return LossCause.LATE_FOR_CAPACITY
    return LossCause.LATE_AT_SERVER


def _record_items(events: list[LogEvent], targets_ms: Mapping[str, float], losses: _Losses) -> None:
    accepted: dict[str, LogEvent] = {}
    events_by_job: dict[str, list[LogEvent]] = {}
    for event in events:
        job_id = str(event.get('job_id') or '')
        if event.event == 'job.accepted' and not event.get('is_repeat'):
            accepted.setdefault(job_id, event)
        elif event.event in ('item.run', 'item.ended', 'job.taken_over', 'job.commit', 'job.ended'):
            events_by_job.setdefault(job_id, []).append(event)
    for job_id, acceptance in accepted.items():
        history = events_by_job.get(job_id, [])
        count = int(acceptance.get('items') or 0)
        losses.report.items_count += count
        if any(event.event == 'job.ended' for event in history):
            # The caller ended the job. Only its results show which items had finished before.
            continue
        route = str(acceptance.get('route') or '')
        target_ms = targets_ms.get(route, float('inf'))
        items = {str(event.get('item_id')) for event in history if event.event == 'item.run'}
        for item_id in sorted(items):
            cause = item_loss_cause(item_id, acceptance, history, target_ms)
            if cause is not None:
                losses.record(cause, route, acceptance.time_s + target_ms / 1e3, item_id)
        for _ in range(count - len(items)):
            losses.record(LossCause.ITEM_NEVER_RAN, route, acceptance.time_s, job_id)
