"""The ``caller_gone`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('CallerGoneError',)


class CallerGoneError(CitrondykeError):
    """The caller closed its connection before the response was complete."""

    code = 'caller_gone'
    http_status = 499
    default_run = RunState.UNKNOWN
