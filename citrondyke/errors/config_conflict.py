"""The ``config_conflict`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('ConfigConflictError',)


class ConfigConflictError(CitrondykeError):
    """The configuration has changed since the expected version."""

    code = 'config_conflict'
    kind = 'conflict_error'
    http_status = 409
