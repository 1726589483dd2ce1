"""The ``log_unreadable`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('LogUnreadableError',)


class LogUnreadableError(CitrondykeError):
    """A log file cannot be read."""

    code = 'log_unreadable'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, file: str, detail: str) -> None:
        """Initialize the error.

        :param file: path of the file.
        :param detail: what is wrong with it.
        """
        super().__init__(f'{file}: {detail}')
