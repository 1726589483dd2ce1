"""The ``overloaded`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('OverloadedError',)


class OverloadedError(CitrondykeError):
    """There is not enough capacity to serve the request within its target."""

    code = 'overloaded'
    kind = 'overloaded_error'
    http_status = 429
