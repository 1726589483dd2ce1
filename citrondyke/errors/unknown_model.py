"""The failure ``unknown_model``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownModelError',)


class UnknownModelError(CitrondykeError):
    """No backend server serves that model."""

    code = 'unknown_model'
    kind = 'invalid_request_error'
    http_status = 404
