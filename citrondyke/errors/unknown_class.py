"""The failure ``unknown_class``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownClassError',)


class UnknownClassError(CitrondykeError):
    """There is no class of work by that name."""

    code = 'unknown_class'
    kind = 'invalid_request_error'
    http_status = 400
