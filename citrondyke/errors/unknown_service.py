"""The failure ``unknown_service``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownServiceError',)


class UnknownServiceError(CitrondykeError):
    """There is no service by that name."""

    code = 'unknown_service'
    kind = 'invalid_request_error'
    http_status = 404
