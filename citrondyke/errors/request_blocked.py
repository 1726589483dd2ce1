"""The ``request_blocked`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('RequestBlockedError',)


class RequestBlockedError(CitrondykeError):
    """Backend servers have crashed under this request, or under a part of its prompt."""

    code = 'request_blocked'
    kind = 'server_error'
    http_status = 502
