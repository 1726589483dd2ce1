"""The ``body_too_large`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BodyTooLargeError',)


class BodyTooLargeError(CitrondykeError):
    """The request body exceeds the size limit of this endpoint."""

    code = 'body_too_large'
    kind = 'invalid_request_error'
    http_status = 413
