"""The ``bad_request_head`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BadRequestHeadError',)


class BadRequestHeadError(CitrondykeError):
    """A request is not valid HTTP, or exceeds a limit on size or time."""

    code = 'bad_request_head'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, message: str, status: int = 400) -> None:
        """Initialize the error.

        :param message: what is wrong with the request.
        :param status: HTTP status of the response: 400, 408, 413 or 431.
        """
        super().__init__(message)
        self.status = status
