"""A caller's deadline, as an absolute time."""

from __future__ import annotations

import bottle

from citrondyke.errors import InvalidFieldError
from citrondyke.util.clock import Clock

__all__ = ('request_deadline_ms',)

EPOCH_HEADER = 'Citrondyke-Deadline-Epoch-Ms'
WITHIN_HEADER = 'Citrondyke-Within-Ms'


def request_deadline_ms(clock: Clock, default_within_ms: float) -> float:
    """Give the monotonic time after which the answer is of no use.

    A wall-clock deadline is turned into a monotonic one here, once.

    :param default_within_ms: used when the request states none, and never exceeded.
    :raises InvalidFieldError: when the header is no number.
    """
    within_ms = default_within_ms
    stated = bottle.request.headers.get(EPOCH_HEADER)
    if stated is not None:
        within_ms = _parse_ms(EPOCH_HEADER, stated) - clock.epoch_ms()
    stated = bottle.request.headers.get(WITHIN_HEADER)
    if stated is not None:
        within_ms = _parse_ms(WITHIN_HEADER, stated)
    return clock.now_ms() + min(within_ms, default_within_ms)


def _parse_ms(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise InvalidFieldError(f'{name} is no number of milliseconds') from error
    if not 0 <= value < 1e15:  # noqa: PLR2004
        raise InvalidFieldError(f'{name} is out of range')
    return value
