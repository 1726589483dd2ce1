"""The ``idempotency_conflict`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('IdempotencyConflictError',)


class IdempotencyConflictError(CitrondykeError):
    """The idempotency key was already used with different content."""

    code = 'idempotency_conflict'
    kind = 'conflict_error'
    http_status = 409
