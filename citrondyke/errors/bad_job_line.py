"""The ``bad_job_line`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BadJobLineError',)


class BadJobLineError(CitrondykeError):
    """A line of the job file is invalid; no part of the file was accepted."""

    code = 'bad_job_line'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, line_number: int, reason: str) -> None:
        """Initialize the error.

        :param line_number: number of the line, starting at 1.
        :param reason: what is wrong with the line.
        """
        super().__init__(f'line {line_number}: {reason}; no part of the file was accepted')
        self.line_number = line_number
