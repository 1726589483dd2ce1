"""Describes how the stream of a request or an item ended, and by whose word."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.streams.stream_end import EndVerdict

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('END_EVENTS', 'describe_stream_ends', 'is_unconfirmed')

#: What the verdicts say that depend on no other server.
VERDICT_TEXTS = {
    EndVerdict.COMPLETE_BY_FRAMING.value: 'Its frame ends the stream.',
    'own': "The stream can't be resumed, so that no other server was asked.",
    'no_run': 'It is no run of the item, and says nothing about its end.',
}
#: Lines about the orderly end of a run of a stream.
END_EVENTS = frozenset(('stream.ended', 'item.ended'))


def is_unconfirmed(event: LogEvent) -> bool:
    """Return whether nothing had proved yet that the stream ends where this run did."""
    return event.event in END_EVENTS and event.get('verdict') == EndVerdict.UNCONFIRMED.value


def describe_stream_ends(history: list[LogEvent]) -> list[str]:
    """Describe the ends of the runs of one stream.

    :param history: log lines of the request or the item, in order of time.
    """
    ends = [event for event in history if event.event in END_EVENTS]
    told = [f'{_describe_run(event)} {_describe_verdict(event)}' for event in ends]
    if ends and is_unconfirmed(ends[-1]) and _was_cut(history):
        told.append(
            f'The stream was cut after {_position(ends[-1])}: nobody could confirm its end.'
        )
    return told


def _describe_run(event: LogEvent) -> str:
    frame = 'with a frame' if event.get('is_framed') else 'with its connection'
    status = event.get('status')
    answer = f' (status {status})' if status not in (None, 200) else ''
    cut = ', after an interruption' if event.get('after_interruption') else ''
    return (
        f'The run at {event.get("server_id")}{answer} ended {frame}, '
        f'{event.get("events_count")} events, at {_position(event)}{cut}.'
    )


def _describe_verdict(event: LogEvent) -> str:
    verdict = event.get('verdict')
    if verdict in VERDICT_TEXTS:
        return VERDICT_TEXTS[str(verdict)]
    servers = ', '.join(map(str, event.get('stated_by') or ())) or 'no server'
    if verdict == EndVerdict.COMPLETE_BY_AGREEMENT.value:
        return f'The stream ends there according to {servers}.'
    if verdict == EndVerdict.UNCONFIRMED.value:
        return f'That the stream ends there was stated by {servers} and not confirmed.'
    return f'It counted as {verdict}.'


def _position(event: LogEvent) -> str:
    last_event_id = event.get('last_event_id')
    return 'no event' if last_event_id is None else f'event {last_event_id}'


def _was_cut(history: list[LogEvent]) -> bool:
    """Tell whether the request ended otherwise than answered; items have no such line."""
    ends = [event.get('end') for event in history if event.event == 'request.end']
    return bool(ends) and ends[-1] != 'done'
