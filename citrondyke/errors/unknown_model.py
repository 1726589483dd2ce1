"""The ``unknown_model`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownModelError',)


class UnknownModelError(CitrondykeError):
    """No backend server serves this model."""

    code = 'unknown_model'
    kind = 'invalid_request_error'
    http_status = 404
