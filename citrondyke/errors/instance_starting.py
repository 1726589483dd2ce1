"""The ``instance_starting`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('InstanceStartingError',)


class InstanceStartingError(CitrondykeError):
    """The instance has not loaded its configuration yet."""

    code = 'instance_starting'
    kind = 'overloaded_error'
    http_status = 503
