"""The failure ``overloaded``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('OverloadedError',)


class OverloadedError(CitrondykeError):
    """There is no room for the request within its target."""

    code = 'overloaded'
    kind = 'overloaded_error'
    http_status = 429
