"""The ``in_progress`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('InProgressError',)


class InProgressError(CitrondykeError):
    """The first request with this idempotency key is still running."""

    code = 'in_progress'
    kind = 'conflict_error'
    http_status = 409
    default_run = RunState.UNKNOWN
