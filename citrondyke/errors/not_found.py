"""The failure ``not_found``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('NotFoundError',)


class NotFoundError(CitrondykeError):
    """There is nothing by that name for this tenant."""

    code = 'not_found'
    kind = 'invalid_request_error'
    http_status = 404
