"""The ``instance_stopping`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('InstanceStoppingError',)


class InstanceStoppingError(CitrondykeError):
    """The instance stops before the request has a response."""

    code = 'instance_stopping'
    http_status = 503
    default_run = RunState.UNKNOWN
