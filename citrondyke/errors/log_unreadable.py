"""The failure ``log_unreadable``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('LogUnreadableError',)


class LogUnreadableError(CitrondykeError):
    """A log file cannot be read."""

    code = 'log_unreadable'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, file: str, detail: str) -> None:
        """Name the file and what is wrong with it."""
        super().__init__(f'{file}: {detail}')
