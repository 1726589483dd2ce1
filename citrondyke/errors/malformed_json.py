"""The failure ``malformed_json``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('MalformedJsonError',)


class MalformedJsonError(CitrondykeError):
    """The body is not JSON."""

    code = 'malformed_json'
    kind = 'invalid_request_error'
    http_status = 400
