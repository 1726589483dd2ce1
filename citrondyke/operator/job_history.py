"""Describes the outcome of a job or an item from the log lines about it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from citrondyke.operator.stream_ends import describe_stream_ends, is_unconfirmed

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('explain_item', 'explain_job')


def explain_job(history: list[LogEvent]) -> tuple[str, list[str]]:
    """Describe the outcome of a job.

    :param history: log lines of the job, in order of time.
    :returns: the description, and the kinds of lines that are missing.
    """
    kinds = [event.event for event in history]
    parts = []
    missing = []
    accepted = next((event for event in history if event.event == 'job.accepted'), None)
    if accepted is not None:
        parts.append(f'{accepted.instance} accepted {accepted.get("items")} items.')
    elif 'job.refused' not in kinds:
        missing.append('job.accepted')
    parts += [
        f'{event.instance} rejected it: {event.get("reason")}.'
        for event in history
        if event.event == 'job.refused'
    ]
    owners = [event for event in history if event.event in ('job.taken_over', 'job.handed_over')]
    parts += [
        f'{event.instance} {"took it over" if event.event == "job.taken_over" else "released it"}'
        f' at {event.time_s:.3f}.'
        for event in owners
    ]
    parts += _describe_runs(history)
    doubtful = {event.get('item_id') for event in history if is_unconfirmed(event)}
    if doubtful:
        parts.append(f'The end of {len(doubtful)} items had to be confirmed by another server.')
    listed = [int(event.get('listed') or 0) for event in history if event.event == 'job.commit']
    total = next((event.get('of') for event in history if event.event == 'job.commit'), None)
    if listed:
        parts.append(f'{max(listed)} of {total} results were listed.')
    if 'job.ended' in kinds:
        parts.append('Its caller ended it.')
    return ' '.join(parts) or 'The logs contain only queries about it.', missing


def explain_item(history: list[LogEvent]) -> tuple[str, list[str]]:
    """Describe how the runs and the stream of an item ended; return the same as ``explain_job``."""
    return ' '.join([*_describe_runs(history), *describe_stream_ends(history)]), []


def _describe_runs(history: list[LogEvent]) -> list[str]:
    counts: dict[Any, int] = {}
    for event in history:
        if event.event == 'item.run':
            counts[event.get('end')] = counts.get(event.get('end'), 0) + 1
    return [f'{count} runs of items ended as {end}.' for end, count in sorted(counts.items())]
