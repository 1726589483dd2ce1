"""From an id to the course of events and its cause."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from citrondyke.errors.unknown_id import UnknownIdError
from citrondyke.operator.log_events import LogEvent, LogEvents

__all__ = ('Explanation', 'explain')

#: Changes of what an instance believed that lie this close to a request are shown with it.
AROUND_S = 3.0
ID_FIELDS = ('request_id', 'job_id', 'item_id', 'content')
BELIEFS = frozenset(
    (
        'config.taken',
        'servers.changed',
        'server.ended',
        'dependency.lost',
        'dependency.regained',
        'instance.started',
        'instance.stopping',
        'instance.stopped',
        'instance.reloaded',
        'task.failed',
    )
)
OUTCOMES = {
    'not_sent': 'no connection came about',
    'refused': 'the server stated that it did not run it',
    'failed': 'the server answered with a failure',
    'unknown': 'the connection broke off or stayed silent after the request was sent',
}


class Explanation(msgspec.Struct):
    """What the logs tell of one id."""

    wanted: str
    course: list[LogEvent]
    #: What the instances that took part believed, and when that changed.
    around: list[LogEvent]
    cause: str
    #: Lines that would be there if everything had been logged.
    missing: list[str]


def explain(wanted: str, logs: LogEvents) -> Explanation:
    """Join the lines about an id.

    :raises UnknownIdError: when there are none.
    """
    course = [
        event for event in logs.events if any(event.get(field) == wanted for field in ID_FIELDS)
    ]
    if not course:
        raise UnknownIdError(wanted, len(logs.events))
    around = _around(course, logs.events)
    if any(event.get('job_id') == wanted for event in course):
        cause, missing = _job_cause(course)
    elif any(event.get('item_id') == wanted for event in course):
        cause, missing = _item_cause(course)
    elif any(event.get('content') == wanted for event in course):
        cause, missing = _content_cause(course), []
    else:
        cause, missing = _request_cause(course, logs.events)
    for kind, count in sorted(logs.left_out.items()):
        missing.append(f'{count} lines {kind} were left out under load')
    if logs.unreadable_count:
        missing.append(f'{logs.unreadable_count} lines are cut or no JSON')
    return Explanation(wanted, course, around, cause, missing)


def _around(course: list[LogEvent], events: list[LogEvent]) -> list[LogEvent]:
    instances = {event.instance for event in course}
    first, last = course[0].time_s - AROUND_S, course[-1].time_s + AROUND_S
    return [
        event
        for event in events
        if event.event in BELIEFS and event.instance in instances and first <= event.time_s <= last
    ]


def _request_cause(course: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
    by_kind = {event.event: event for event in course}
    if 'request.no_route' in by_kind:
        return _no_route(by_kind['request.no_route']), []
    if 'request.too_many' in by_kind:
        return 'The instance had as many connections as it may have.', []
    if 'job.refused' in by_kind:
        return f'The job was not taken: {by_kind["job.refused"].get("reason")}.', []
    end = by_kind.get('request.end')
    if end is None:
        return _no_end(course, events)
    sends = [event for event in course if event.event == 'send.failed']
    turned_away = by_kind.get('request.turned_away')
    reasons: dict[str, str] = {
        'done': 'It was answered.',
        'turned_away': _turned_away(turned_away),
        'no_server': 'No server of its service took work.',
        'not_run': 'Every server that was asked turned it away; none ran it.',
        'broken': 'A server may have run it and its answer did not come whole; '
        'it may not run again.',
        'timed_out': 'No whole answer came before the deadline.',
        'cut_midway': 'Its stream broke off and may not go on elsewhere.',
        'stopped': _stopped(by_kind.get('request.stopped')),
        'on_trial': _stopped(by_kind.get('request.stopped')),
        'server_failure': 'The servers answered with a failure, which was passed on.',
        'caller_gone': 'The caller closed its connection.',
    }
    cause = reasons.get(str(end.get('end')), f'It ended as {end.get("end")}.')
    missing = []
    if end.get('end') == 'turned_away' and turned_away is None:
        missing.append('request.turned_away')
    if end.get('end') in ('broken', 'timed_out', 'cut_midway', 'not_run') and not sends:
        missing.append('send.failed')
    return ' '.join([cause, *(_send(send) for send in sends)]), missing


def _no_route(event: LogEvent) -> str:
    if event.get('status') == 404:  # noqa: PLR2004
        return (
            f'Configuration {event.get("config_version")}, confirmed '
            f'{event.get("confirmed_age_ms")} ms before, has no route for {event.get("host")}'
            f'{event.get("path")}.'
        )
    return (
        f'Configuration {event.get("config_version")} has no route for it, but was last confirmed '
        f'{event.get("confirmed_age_ms")} ms before, so that a newer one may have: the caller was '
        'told to come back.'
    )


def _turned_away(event: LogEvent | None) -> str:
    if event is None:
        return 'No place was to be expected in time.'
    return (
        f'No place was to be expected in time: the best server, {event.get("best_server")}, had '
        f'{event.get("online_count")} online requests and {event.get("batch_count")} batch items '
        f'on {event.get("slots")} places, and the wait would have been '
        f'{event.get("expected_wait_ms")} ms.'
    )


def _stopped(event: LogEvent | None) -> str:
    if event is None:
        return 'Servers had ended under the same work.'
    return (
        f'{event.get("servers_ended")} servers had ended under the same work, '
        f'{event.get("content")}, which is {event.get("standing")}: it was not sent on.'
    )


def _content_cause(course: list[LogEvent]) -> str:
    ended = {event.get('server') for event in course if event.event == 'suspect.counted'}
    sends = {event.get('request_id') for event in course if event.event == 'send.failed'}
    counts = Counter(event.event for event in course)
    parts = [f'{len(ended)} servers ended under it, with {len(sends)} attempts.']
    if counts['request.stopped']:
        parts.append(f'{counts["request.stopped"]} attempts were stopped.')
    granted = sum(event.event == 'suspect.trial' and bool(event.get('granted')) for event in course)
    if granted:
        parts.append(f'{granted} trials were allowed.')
    if counts['suspect.cleared']:
        parts.append('A whole answer cleared it.')
    return ' '.join(parts)


def _send(event: LogEvent) -> str:
    outcome = OUTCOMES.get(str(event.get('outcome')), str(event.get('outcome')))
    detail = f' ({event.get("detail")})' if event.get('detail') else ''
    return f'At {event.get("server_id")}: {outcome}{detail} after {event.get("took_ms")} ms.'


def _no_end(course: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
    instance = course[-1].instance
    begun = next(
        (
            event
            for event in events
            if event.event == 'instance.started'
            and event.instance == instance
            and event.time_s >= course[-1].time_s
        ),
        None,
    )
    if begun is not None:
        return (
            f'{instance} ended in the middle of it and started again at {begun.time_s:.3f}.',
            ['request.end'],
        )
    return f'The lines of {instance} end in the middle of it.', ['request.end']


def _job_cause(course: list[LogEvent]) -> tuple[str, list[str]]:
    kinds = [event.event for event in course]
    parts = []
    missing = []
    accepted = next((event for event in course if event.event == 'job.accepted'), None)
    if accepted is not None:
        parts.append(f'{accepted.instance} accepted {accepted.get("items")} items.')
    elif 'job.refused' not in kinds:
        missing.append('job.accepted')
    parts += [
        f'{event.instance} did not take it: {event.get("reason")}.'
        for event in course
        if event.event == 'job.refused'
    ]
    owners = [event for event in course if event.event in ('job.taken_over', 'job.handed_over')]
    parts += [
        f'{event.instance} {"took it over" if event.event == "job.taken_over" else "gave it back"}'
        f' at {event.time_s:.3f}.'
        for event in owners
    ]
    parts += _runs(course)
    listed = [int(event.get('listed') or 0) for event in course if event.event == 'job.commit']
    total = next((event.get('of') for event in course if event.event == 'job.commit'), None)
    if listed:
        parts.append(f'{max(listed)} of {total} results were listed.')
    if 'job.ended' in kinds:
        parts.append('Its caller ended it.')
    return ' '.join(parts) or 'Only questions about it are in the logs.', missing


def _item_cause(course: list[LogEvent]) -> tuple[str, list[str]]:
    return ' '.join(_runs(course)), []


def _runs(course: list[LogEvent]) -> list[str]:
    counts: dict[Any, int] = {}
    for event in course:
        if event.event == 'item.run':
            counts[event.get('end')] = counts.get(event.get('end'), 0) + 1
    return [f'{count} runs of items ended as {end}.' for end, count in sorted(counts.items())]
