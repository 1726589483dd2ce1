"""The ``invalid_header`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('InvalidHeaderError',)


class InvalidHeaderError(CitrondykeError, ValueError):
    """A header name is not a token, or a header value contains a control character."""

    code = 'invalid_header'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, name: bytes) -> None:
        """Initialize the error.

        :param name: name of the header.
        """
        super().__init__(f'invalid header {name[:80]!r}')
