"""The ``platform_unavailable`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('PlatformUnavailableError',)


class PlatformUnavailableError(CitrondykeError):
    """The platform's table service or object store is unavailable."""

    code = 'platform_unavailable'
    kind = 'overloaded_error'
    http_status = 503
