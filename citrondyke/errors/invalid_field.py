"""The ``invalid_field`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('InvalidFieldError',)


class InvalidFieldError(CitrondykeError):
    """A field of the request is invalid."""

    code = 'invalid_field'
    kind = 'invalid_request_error'
    http_status = 400
