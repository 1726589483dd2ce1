"""The failure ``config_conflict``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('ConfigConflictError',)


class ConfigConflictError(CitrondykeError):
    """Another operator changed the configuration first."""

    code = 'config_conflict'
    kind = 'conflict_error'
    http_status = 409
