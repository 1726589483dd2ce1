"""The ``slow_sender`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('SlowSenderError',)


class SlowSenderError(CitrondykeError):
    """The request body did not arrive in time."""

    code = 'slow_sender'
    kind = 'timeout_error'
    http_status = 408
