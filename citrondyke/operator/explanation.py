"""From an id to the course of events and its cause."""

from __future__ import annotations

import msgspec

from citrondyke.errors.unknown_id import UnknownIdError
from citrondyke.operator.job_course import item_runs, job_cause
from citrondyke.operator.log_events import LogEvent, LogEvents
from citrondyke.operator.request_course import content_cause, request_cause

__all__ = ('Explanation', 'explain')

#: Changes of what an instance believed that lie this close to a request are shown with it.
AROUND_S = 3.0
ID_FIELDS = ('request_id', 'job_id', 'item_id', 'content')
BELIEFS = frozenset(
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
        'task.failed',
    )
)


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
        cause, missing = job_cause(course)
    elif any(event.get('item_id') == wanted for event in course):
        cause, missing = item_runs(course)
    elif any(event.get('content') == wanted for event in course):
        cause, missing = content_cause(course), []
    else:
        cause, missing = request_cause(course, logs.events)
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
