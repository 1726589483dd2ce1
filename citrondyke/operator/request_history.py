"""Describes the cause of a request's outcome from the log lines about it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from citrondyke.operator.stream_ends import describe_stream_ends

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('explain_content', 'explain_request')

OUTCOME_TEXTS = {
    'not_sent': 'no connection was established',
    'refused': 'the server stated that it did not run it',
    'failed': 'the server answered with a failure',
    'unconfirmed': 'its run ended, and nothing proved that the stream has ended',
    'unknown': 'the connection was aborted or unresponsive after the request was sent',
}

#: Log events about a change of a server's health, and the health after it.
HEALTH_TEXTS: dict[str, str | None] = {
    'server.doubted': 'degraded',
    'server.out': 'out',
    'server.back': 'degraded',
    'server.sound': None,
}


def explain_request(history: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
    """Describe the cause of a request's outcome.

    :param history: log lines of the request, in order of time.
    :param events: all log lines.
    :returns: the cause, and the kinds of lines that are missing.
    """
    by_kind = {event.event: event for event in history}
    if 'request.no_route' in by_kind:
        return _describe_no_route(by_kind['request.no_route']), []
    if 'request.no_account' in by_kind:
        return _describe_no_account(by_kind['request.no_account']), []
    if 'job.refused' in by_kind:
        return f'The job was rejected: {by_kind["job.refused"].get("reason")}.', []
    end = by_kind.get('request.end')
    if end is None:
        return _describe_lost_end(history, events)
    sends = [event for event in history if event.event == 'send.failed']
    rejection = by_kind.get('request.turned_away')
    reasons: dict[str, str] = {
        'done': 'It was answered.',
        'turned_away': _describe_rejection(rejection),
        'no_server': 'No server of its service accepted requests.',
        'not_run': 'Every server that it was sent to rejected it without running it.',
        'broken': 'A server may have run it and its answer was incomplete; it must not run again.',
        'timed_out': 'No complete answer arrived before the deadline.',
        'cut_midway': 'Its stream was aborted and must not be resumed at another server.',
        'origin_unknown': _describe_origin(by_kind.get('stream.origin')),
        'origin_gone': _describe_origin(by_kind.get('stream.origin')),
        'over_limit': _describe_limit(by_kind.get('request.over_limit')),
        'limit_unknown': _describe_limit(by_kind.get('request.over_limit')),
        'key_gone': 'Its key was removed before another server was tried.',
        'stopped': _describe_stop(by_kind.get('request.stopped')),
        'on_trial': _describe_stop(by_kind.get('request.stopped')),
        'server_failure': 'The servers answered with a failure, which was forwarded.',
        'caller_gone': 'The caller closed its connection.',
    }
    cause = reasons.get(str(end.get('end')), f'It ended as {end.get("end")}.')
    missing = []
    if end.get('end') in ('over_limit', 'limit_unknown') and 'request.over_limit' not in by_kind:
        missing.append('request.over_limit')
    if end.get('end') == 'turned_away' and rejection is None:
        missing.append('request.turned_away')
    if str(end.get('end')).startswith('origin_') and 'stream.origin' not in by_kind:
        missing.append('stream.origin')
    if end.get('end') in ('broken', 'timed_out', 'cut_midway', 'not_run') and not sends:
        missing.append('send.failed')
    told = [f'{_describe_send(send)}{_describe_health(send, events)}' for send in sends]
    return ' '.join([cause, *told, *describe_stream_ends(history)]), missing


def explain_content(history: list[LogEvent]) -> str:
    """Describe the outcome of all attempts with the same request content or prompt part."""
    exited = {event.get('server') for event in history if event.event == 'suspect.counted'}
    sends = {event.get('request_id') for event in history if event.event == 'send.failed'}
    counts = Counter(event.event for event in history)
    parts = [f'{len(exited)} servers exited under it, in {len(sends)} attempts.']
    if counts['request.stopped']:
        parts.append(f'{counts["request.stopped"]} attempts were stopped.')
    granted = sum(
        event.event == 'suspect.trial' and bool(event.get('granted')) for event in history
    )
    if granted:
        parts.append(f'{granted} probes were allowed.')
    if counts['suspect.cleared']:
        parts.append('A complete answer cleared it.')
    return ' '.join(parts)


def _describe_limit(event: LogEvent | None) -> str:
    if event is None:
        return 'It was not sent because of the limit of its account.'
    account = event.get('account')
    limit = f'{event.get("rate_per_s")} requests per second and {event.get("burst")} at once'
    if event.get('verdict') == 'over':
        by = event.get('by') or 'this instance'
        text = f'Account {account} had used up its limit of {limit}, according to {by}.'
        if event.get('is_kept'):
            text += f' Capacity was reserved for it {event.get("retry_in_ms")} ms later.'
        return text
    return f'No instance could check whether account {account} had used up its limit of {limit}.'


def _describe_origin(event: LogEvent | None) -> str:
    if event is None:
        return 'No server may continue its stream.'
    begun_by = event.get('begun_by') or 'an unknown request'
    if event.get('version'):
        version = f'{event.get("version")} of {event.get("service")}'
        return f'Version {version} began its stream ({begun_by}); none of its servers takes work.'
    return (
        f'No instance knew which version began its stream ({begun_by}): {event.get("reason")}, '
        f'{event.get("answers")} peers answered.'
    )


def _describe_no_account(event: LogEvent) -> str:
    if event.get('reason') == 'no_configuration':
        return 'The instance had no configuration yet.'
    key_problem = 'had no key' if event.get('reason') == 'no_key' else 'had an unknown key'
    cause = f'It {key_problem}, according to configuration {event.get("config_version")}.'
    if event.get('status') == 401:  # noqa: PLR2004
        return cause
    age_ms = event.get('confirmed_age_ms')
    return f'{cause} This was uncertain: the store had last confirmed it {age_ms} ms before.'


def _describe_no_route(event: LogEvent) -> str:
    if event.get('status') == 404:  # noqa: PLR2004
        return (
            f'Configuration {event.get("config_version")}, confirmed '
            f'{event.get("confirmed_age_ms")} ms before, has no route for {event.get("host")}'
            f'{event.get("path")}.'
        )
    return (
        f'Configuration {event.get("config_version")} has no route for it, but was last confirmed '
        f'{event.get("confirmed_age_ms")} ms before. A newer one may have it, so the caller was '
        'told to retry.'
    )


def _describe_rejection(event: LogEvent | None) -> str:
    if event is None:
        return 'No capacity was expected to be free in time.'
    return (
        f'No capacity was expected to be free in time: '
        f'the best server, {event.get("best_server")}, had '
        f'{event.get("online_count")} online requests and {event.get("batch_count")} batch items '
        f'for a capacity of {event.get("slots")}, and the expected wait was '
        f'{event.get("expected_wait_ms")} ms.'
    )


def _describe_stop(event: LogEvent | None) -> str:
    if event is None:
        return 'Servers had exited under requests of the same content.'
    part = event.get('prompt_part')
    shared = (
        f'with the same prompt part, {part}'
        if part
        else f'of the same content, {event.get("content")}'
    )
    return (
        f'{event.get("servers_ended")} servers had exited under requests {shared}, '
        f'which is {event.get("standing")}: it was not sent again.'
    )


def _describe_send(event: LogEvent) -> str:
    outcome = OUTCOME_TEXTS.get(str(event.get('outcome')), str(event.get('outcome')))
    detail = f' ({event.get("detail")})' if event.get('detail') else ''
    return f'At {event.get("server_id")}: {outcome}{detail} after {event.get("took_ms")} ms.'


def _describe_health(send: LogEvent, events: list[LogEvent]) -> str:
    """Tell how the instance held a server that failed a send; nothing where it was sound."""
    changes = [
        event
        for event in events
        if event.event in HEALTH_TEXTS
        and event.instance == send.instance
        and event.get('server_id') == send.get('server_id')
        and event.time_s <= send.time_s
    ]
    if not changes or HEALTH_TEXTS[changes[-1].event] is None:
        return ''
    last = changes[-1]
    return (
        f' It had been {HEALTH_TEXTS[last.event]} there for {send.time_s - last.time_s:.1f} s, '
        f'after {last.get("failures")} failures seen by {last.get("witnesses_count")} instances.'
    )


def _describe_lost_end(history: list[LogEvent], events: list[LogEvent]) -> tuple[str, list[str]]:
    instance = history[-1].instance
    restart = next(
        (
            event
            for event in events
            if event.event == 'instance.started'
            and event.instance == instance
            and event.time_s >= history[-1].time_s
        ),
        None,
    )
    if restart is not None:
        return (
            f'{instance} exited during the request and started again at {restart.time_s:.3f}.',
            ['request.end'],
        )
    return f'The log of {instance} ends before the end of the request.', ['request.end']
