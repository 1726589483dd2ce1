"""The failure ``bad_request_head``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BadRequestHeadError',)


class BadRequestHeadError(CitrondykeError):
    """A request is not proper HTTP, or is larger or slower than allowed."""

    code = 'bad_request_head'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, message: str, status: int = 400) -> None:
        """Name what is wrong.

        :param status: 400, 408, 413 or 431.
        """
        super().__init__(message)
        self.status = status
