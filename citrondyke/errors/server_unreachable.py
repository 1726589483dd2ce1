"""The ``server_unreachable`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('ServerUnreachableError',)


class ServerUnreachableError(CitrondykeError):
    """No backend server accepted the request."""

    code = 'server_unreachable'
    kind = 'server_error'
    http_status = 503
