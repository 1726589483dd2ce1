"""The failure ``body_too_large``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BodyTooLargeError',)


class BodyTooLargeError(CitrondykeError):
    """The body is larger than this door takes."""

    code = 'body_too_large'
    kind = 'invalid_request_error'
    http_status = 413
