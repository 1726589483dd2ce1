"""The ``deadline_passed`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('DeadlinePassedError',)


class DeadlinePassedError(CitrondykeError):
    """The deadline of the request has passed."""

    code = 'deadline_passed'
    kind = 'timeout_error'
    http_status = 504
