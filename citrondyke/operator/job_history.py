"""What became of a job or an item, by the lines about it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('explain_item', 'explain_job')


def explain_job(course: list[LogEvent]) -> tuple[str, list[str]]:
    """Tell what became of a job.

    :param course: the lines about it, in order.
    :returns: the cause, and the kinds of lines that are missing.
    """
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
    parts += _describe_runs(course)
    listed = [int(event.get('listed') or 0) for event in course if event.event == 'job.commit']
    total = next((event.get('of') for event in course if event.event == 'job.commit'), None)
    if listed:
        parts.append(f'{max(listed)} of {total} results were listed.')
    if 'job.ended' in kinds:
        parts.append('Its caller ended it.')
    return ' '.join(parts) or 'Only questions about it are in the logs.', missing


def explain_item(course: list[LogEvent]) -> tuple[str, list[str]]:
    """Tell how the runs of an item ended; as ``explain_job`` does."""
    return ' '.join(_describe_runs(course)), []


def _describe_runs(course: list[LogEvent]) -> list[str]:
    counts: dict[Any, int] = {}
    for event in course:
        if event.event == 'item.run':
            counts[event.get('end')] = counts.get(event.get('end'), 0) + 1
    return [f'{count} runs of items ended as {end}.' for end, count in sorted(counts.items())]
