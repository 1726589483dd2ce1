"""The ``outcome_unknown`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('OutcomeUnknownError',)


class OutcomeUnknownError(CitrondykeError):
    """The request may have run; it will not be retried."""

    code = 'outcome_unknown'
    kind = 'server_error'
    http_status = 502
    default_run = RunState.UNKNOWN
