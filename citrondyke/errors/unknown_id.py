"""The ``unknown_id`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('UnknownIdError',)


class UnknownIdError(CitrondykeError):
    """No event in the logs contains the id."""

    code = 'unknown_id'
    kind = 'invalid_request_error'
    http_status = 404

    def __init__(self, requested_id: str, events_count: int) -> None:
        """Initialize the error.

        :param requested_id: the id that was looked up.
        :param events_count: number of events searched.
        """
        super().__init__(f'{requested_id}: in none of {events_count} events')
