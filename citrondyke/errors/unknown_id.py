"""The failure ``unknown_id``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownIdError',)


class UnknownIdError(CitrondykeError):
    """No line of the logs names the id."""

    code = 'unknown_id'
    kind = 'invalid_request_error'
    http_status = 404

    def __init__(self, wanted: str, events_count: int) -> None:
        """Name the id and how much was searched."""
        super().__init__(f'{wanted}: in none of {events_count} events')
