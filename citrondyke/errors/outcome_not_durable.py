"""The ``outcome_not_durable`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('OutcomeNotDurableError',)


class OutcomeNotDurableError(CitrondykeError):
    """The request ran, but its outcome is not stored yet; retry with the same key."""

    code = 'outcome_not_durable'
    kind = 'server_error'
    http_status = 503
    default_run = RunState.RAN
