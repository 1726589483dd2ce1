"""The failure ``idempotency_conflict``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('IdempotencyConflictError',)


class IdempotencyConflictError(CitrondykeError):
    """The idempotency key was used before with other content."""

    code = 'idempotency_conflict'
    kind = 'conflict_error'
    http_status = 409
