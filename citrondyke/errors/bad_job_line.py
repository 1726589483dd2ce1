"""The failure ``bad_job_line``."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError

__all__ = ('BadJobLineError',)


class BadJobLineError(CitrondykeError):
    """A line of the job file cannot be read; nothing of the job is accepted."""

    code = 'bad_job_line'
    kind = 'invalid_request_error'
    http_status = 400

    def __init__(self, line_number: int, why: str) -> None:
        """Build the failure.

        :param line_number: counted from 1.
        """
        super().__init__(f'line {line_number}: {why}; nothing of the file was accepted')
        self.line_number = line_number
