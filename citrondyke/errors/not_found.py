"""The ``not_found`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('NotFoundError',)


class NotFoundError(CitrondykeError):
    """The tenant has no object with this name."""

    code = 'not_found'
    kind = 'invalid_request_error'
    http_status = 404
