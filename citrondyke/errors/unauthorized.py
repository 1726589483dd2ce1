"""The ``unauthorized`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnauthorizedError',)


class UnauthorizedError(CitrondykeError):
    """The API key is missing or unknown."""

    code = 'unauthorized'
    kind = 'authentication_error'
    http_status = 401
