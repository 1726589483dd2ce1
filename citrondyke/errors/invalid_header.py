"""The failure ``invalid_header``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('InvalidHeaderError',)


class InvalidHeaderError(CitrondykeError, ValueError):
    """A header cannot be sent: its name is no token, or its value would end the line."""

    code = 'invalid_header'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, name: bytes) -> None:
        """Name the header."""
        super().__init__(f'header {name[:80]!r}')
