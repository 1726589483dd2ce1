"""The ``unknown_service`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownServiceError',)


class UnknownServiceError(CitrondykeError):
    """The service does not exist."""

    code = 'unknown_service'
    kind = 'invalid_request_error'
    http_status = 404
