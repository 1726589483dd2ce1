"""The base class of all errors."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

__all__ = ('CitrondykeError', 'RunState')


class RunState(Enum):
    """Whether a backend server may have run the request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class CitrondykeError(Exception):
    """Base class of errors, with a code shared by logs, metrics and HTTP responses."""

    #: Stable: callers may depend on it.
    code: ClassVar[str] = 'internal_error'
    #: The ``type`` field of the error response.
    kind: ClassVar[str] = 'server_error'
    http_status: ClassVar[int] = 500
    #: Used when ``run`` is not given.
    default_run: ClassVar[RunState] = RunState.NOT_RUN

    def __init__(
        self,
        message: str = '',
        *,
        run: RunState | None = None,
        retry_in_ms: float | None = None,
    ) -> None:
        """Initialize the error.

        :param message: text of the error; the first line of the class's docstring by default.
        :param run: whether a backend server may have run the request.
        :param retry_in_ms: time after the response when the caller may retry;
            ``None`` if a retry cannot succeed.
        """
        super().__init__(message or (type(self).__doc__ or '').splitlines()[0])
        self.run = run or self.default_run
        self.retry_in_ms = retry_in_ms

    @property
    def message(self) -> str:
        """Return the human-readable message."""
        return str(self.args[0])
