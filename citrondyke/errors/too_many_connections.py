"""The ``too_many_connections`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('TooManyConnectionsError',)


class TooManyConnectionsError(CitrondykeError):
    """The instance has too many open connections."""

    code = 'too_many_connections'
    kind = 'overloaded_error'
    http_status = 503
