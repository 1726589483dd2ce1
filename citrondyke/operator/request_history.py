"""The cause of a request's end, by the lines about it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('explain_content', 'explain_request')

OUTCOME_TEXTS = {
    'not_sent': 'no connection came about',
    'refused': 'the server stated that it did not run it',
    'failed': 'the server answered with a failure',
    'unknown': 'the connection broke off or stayed silent after the request was sent',
}

#: Lines about how an instance holds a server, and the words for it.
HEALTH_TEXTS: dict[str, str | None] = {
    'server.doubted': 'in doubt',
    'server.out': 'out',
    'server.back': 'in doubt',
    'server.sound': None,
}


def explain_request(course: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
    """Tell why a request ended as it did.

    :param course: the lines about it, in order.
    :param events: all lines.
    :returns: the cause, and the kinds of lines that are missing.
    """
    by_kind = {event.event: event for event in course}
    if 'request.no_route' in by_kind:
        return _describe_no_route(by_kind['request.no_route']), []
    if 'request.no_account' in by_kind:
        return _describe_no_account(by_kind['request.no_account']), []
    if 'request.too_many' in by_kind:
        return 'The instance had as many connections as it may have.', []
    if 'job.refused' in by_kind:
        return f'The job was not taken: {by_kind["job.refused"].get("reason")}.', []
    end = by_kind.get('request.end')
    if end is None:
        return _describe_lost_end(course, events)
    sends = [event for event in course if event.event == 'send.failed']
    turned_away = by_kind.get('request.turned_away')
    reasons: dict[str, str] = {
        'done': 'It was answered.',
        'turned_away': _describe_rejection(turned_away),
        'no_server': 'No server of its service took work.',
        'not_run': 'Every server that was asked turned it away; none ran it.',
        'broken': 'A server may have run it and its answer did not come whole; '
        'it may not run again.',
        'timed_out': 'No whole answer came before the deadline.',
        'cut_midway': 'Its stream broke off and may not go on elsewhere.',
        'over_limit': _describe_limit(by_kind.get('request.over_limit')),
        'limit_unknown': _describe_limit(by_kind.get('request.over_limit')),
        'key_gone': 'Its key was taken away before another server was tried.',
        'stopped': _describe_stop(by_kind.get('request.stopped')),
        'on_trial': _describe_stop(by_kind.get('request.stopped')),
        'server_failure': 'The servers answered with a failure, which was passed on.',
        'caller_gone': 'The caller closed its connection.',
    }
    cause = reasons.get(str(end.get('end')), f'It ended as {end.get("end")}.')
    missing = []
    if end.get('end') in ('over_limit', 'limit_unknown') and 'request.over_limit' not in by_kind:
        missing.append('request.over_limit')
    if end.get('end') == 'turned_away' and turned_away is None:
        missing.append('request.turned_away')
    if end.get('end') in ('broken', 'timed_out', 'cut_midway', 'not_run') and not sends:
        missing.append('send.failed')
    told = [f'{_describe_send(send)}{_describe_health(send, events)}' for send in sends]
    return ' '.join([cause, *told]), missing


def explain_content(course: list[LogEvent]) -> str:
    """Tell what became of all attempts at the same work."""
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


def _describe_limit(event: LogEvent | None) -> str:
    if event is None:
        return 'It was not sent because of the limit of its account.'
    account = event.get('account')
    limit = f'{event.get("rate_per_s")} a second and {event.get("burst")} at once'
    if event.get('verdict') == 'over':
        by = event.get('by') or 'this instance'
        said = f'Account {account} had had its {limit}, as {by} said.'
        if event.get('is_kept'):
            said += f' A place was kept for it {event.get("retry_in_ms")} ms later.'
        return said
    return f'Nobody could say whether account {account} had had its {limit}.'


def _describe_no_account(event: LogEvent) -> str:
    if event.get('reason') == 'no_configuration':
        return 'The instance had no configuration yet.'
    brought = 'brought no key' if event.get('reason') == 'no_key' else 'brought a key of nobody'
    cause = f'It {brought}, by configuration {event.get("config_version")}.'
    if event.get('status') == 401:  # noqa: PLR2004
        return cause
    age_ms = event.get('confirmed_age_ms')
    return f'{cause} That was not certain: the store had last confirmed it {age_ms} ms before.'


def _describe_no_route(event: LogEvent) -> str:
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


def _describe_rejection(event: LogEvent | None) -> str:
    if event is None:
        return 'No place was to be expected in time.'
    return (
        f'No place was to be expected in time: the best server, {event.get("best_server")}, had '
        f'{event.get("online_count")} online requests and {event.get("batch_count")} batch items '
        f'on {event.get("slots")} places, and the wait would have been '
        f'{event.get("expected_wait_ms")} ms.'
    )


def _describe_stop(event: LogEvent | None) -> str:
    if event is None:
        return 'Servers had ended under the same work.'
    return (
        f'{event.get("servers_ended")} servers had ended under the same work, '
        f'{event.get("content")}, which is {event.get("standing")}: it was not sent on.'
    )


def _describe_send(event: LogEvent) -> str:
    outcome = OUTCOME_TEXTS.get(str(event.get('outcome')), str(event.get('outcome')))
    detail = f' ({event.get("detail")})' if event.get('detail') else ''
    return f'At {event.get("server_id")}: {outcome}{detail} after {event.get("took_ms")} ms.'


def _describe_health(send: LogEvent, events: list[LogEvent]) -> str:
    """Tell how the instance held a server that failed a send; nothing where it was sound."""
    known = [
        event
        for event in events
        if event.event in HEALTH_TEXTS
        and event.instance == send.instance
        and event.get('server_id') == send.get('server_id')
        and event.time_s <= send.time_s
    ]
    if not known or HEALTH_TEXTS[known[-1].event] is None:
        return ''
    last = known[-1]
    return (
        f' It had been {HEALTH_TEXTS[last.event]} there for {send.time_s - last.time_s:.1f} s, '
        f'by {last.get("failures")} failures that {last.get("witnesses_count")} instances saw.'
    )


def _describe_lost_end(course: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
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
