"""The ``malformed_json`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('MalformedJsonError',)


class MalformedJsonError(CitrondykeError):
    """The request body is not valid JSON."""

    code = 'malformed_json'
    kind = 'invalid_request_error'
    http_status = 400
