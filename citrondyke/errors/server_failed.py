"""The ``server_failed`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('ServerFailedError',)


class ServerFailedError(CitrondykeError):
    """The backend server failed while it was processing the request."""

    code = 'server_failed'
    kind = 'server_error'
    http_status = 502
    default_run = RunState.UNKNOWN
