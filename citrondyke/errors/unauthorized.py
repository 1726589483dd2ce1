"""The failure ``unauthorized``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnauthorizedError',)


class UnauthorizedError(CitrondykeError):
    """The key is missing or names no tenant."""

    code = 'unauthorized'
    kind = 'authentication_error'
    http_status = 401
