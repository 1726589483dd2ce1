"""Explains the outcome of a request, job or item from the log lines about its id."""

from __future__ import annotations

import msgspec

from citrondyke.errors.unknown_id import UnknownIdError
from citrondyke.operator.job_history import explain_item, explain_job
from citrondyke.operator.log_events import LogEvent, LogEvents
from citrondyke.operator.request_history import explain_content, explain_request

__all__ = ('Explanation', 'explain')

#: State changes of an instance within this time of a request are shown with it.
CONTEXT_S = 3.0
ID_FIELDS = ('request_id', 'job_id', 'item_id', 'content', 'prompt_part')
CONTEXT_EVENTS = frozenset(
    (
        'config.taken',
        'limit.keeper_silent',
        'limit.slots',
        'servers.changed',
        'server.ended',
        'dependency.lost',
        'dependency.regained',
        'instance.started',
        'instance.stopping',
        'instance.stopped',
        'instance.reloaded',
        'row.failed',
        'row.recovered',
        'list.failed',
        'list.stale',
        'list.fresh',
        'list.recovered',
        'task.failed',
        'task.recovered',
    )
)


class Explanation(msgspec.Struct):
    """Log lines about one id, and the cause of the outcome."""

    wanted: str
    course: list[LogEvent]
    #: Changes of the state of the instances that were involved.
    around: list[LogEvent]
    cause: str
    #: Lines that are expected but were not logged.
    missing: list[str]


def explain(wanted: str, logs: LogEvents) -> Explanation:
    """Collect the lines about an id and derive the cause of its outcome.

    :raises UnknownIdError: when no line has this id.
    """
    course = [
        event for event in logs.events if any(event.get(field) == wanted for field in ID_FIELDS)
    ]
    if not course:
        raise UnknownIdError(wanted, len(logs.events))
    around = _context_events(course, logs.events)
    if any(event.get('job_id') == wanted for event in course):
        cause, missing = explain_job(course)
    elif any(event.get('item_id') == wanted for event in course):
        cause, missing = explain_item(course)
    elif any(wanted in (event.get('content'), event.get('prompt_part')) for event in course):
        cause, missing = explain_content(course), []
    else:
        cause, missing = explain_request(course, logs.events)
    for kind, count in sorted(logs.left_out.items()):
        missing.append(f'{count} lines {kind} were left out under load')
    if logs.unreadable_count:
        missing.append(f'{logs.unreadable_count} lines are truncated or not JSON')
    return Explanation(wanted, course, around, cause, missing)


def _context_events(course: list[LogEvent], events: list[LogEvent]) -> list[LogEvent]:
    instances = {event.instance for event in course}
    first, last = course[0].time_s - CONTEXT_S, course[-1].time_s + CONTEXT_S
    return [
        event
        for event in events
        if event.event in CONTEXT_EVENTS
        and event.instance in instances
        and first <= event.time_s <= last
    ]
