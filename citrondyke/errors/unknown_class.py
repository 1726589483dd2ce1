"""The ``unknown_class`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownClassError',)


class UnknownClassError(CitrondykeError):
    """The class of work does not exist."""

    code = 'unknown_class'
    kind = 'invalid_request_error'
    http_status = 400
