"""The failure ``outcome_not_durable``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('OutcomeNotDurableError',)


class OutcomeNotDurableError(CitrondykeError):
    """The request ran; its outcome is being stored and can be read with the same key."""

    code = 'outcome_not_durable'
    kind = 'server_error'
    http_status = 503
    default_run = RunState.RAN
