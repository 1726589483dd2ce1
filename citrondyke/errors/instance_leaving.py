"""The failure ``instance_leaving``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('InstanceLeavingError',)


class InstanceLeavingError(CitrondykeError):
    """The instance is stopping and takes no new work."""

    code = 'instance_leaving'
    kind = 'overloaded_error'
    http_status = 503
