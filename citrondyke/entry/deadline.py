"""Reads the deadline of a request from its headers."""

from __future__ import annotations

import bottle

from citrondyke.errors import InvalidFieldError
from citrondyke.util.clock import Clock
from citrondyke.util.numbers import parse_decimal

__all__ = ('request_deadline_ms',)

EPOCH_HEADER = 'Citrondyke-Deadline-Epoch-Ms'
WITHIN_HEADER = 'Citrondyke-Within-Ms'
LATEST_EPOCH_MS = 1e15


def request_deadline_ms(clock: Clock, default_within_ms: float) -> float:
    """Return the deadline of the current request in monotonic time.

    A wall-clock deadline is converted here once; later code uses monotonic time only.

    :param default_within_ms: default and upper limit of the time until the deadline.
    :raises InvalidFieldError: if a header is not a valid number.
    """
    within_ms = default_within_ms
    header = bottle.request.headers.get(EPOCH_HEADER)
    if header is not None:
        within_ms = _parse_ms(EPOCH_HEADER, header) - clock.epoch_ms()
    header = bottle.request.headers.get(WITHIN_HEADER)
    if header is not None:
        within_ms = _parse_ms(WITHIN_HEADER, header)
    return clock.now_ms() + min(within_ms, default_within_ms)


def _parse_ms(name: str, text: str) -> float:
    value = parse_decimal(text, 0.0, LATEST_EPOCH_MS)
    if value is None:
        raise InvalidFieldError(
            f'{name} must be a number of milliseconds, at most {LATEST_EPOCH_MS:.0f}'
        )
    return value
