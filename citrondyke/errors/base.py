"""The root of all failures."""

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
    """A failure with a stable code, shared by logs, metrics and HTTP answers."""

    #: Stable; callers may depend on it.
    code: ClassVar[str] = 'internal_error'
    #: The ``type`` of the published error body.
    kind: ClassVar[str] = 'server_error'
    http_status: ClassVar[int] = 500
    #: What is true of the request unless the instance says otherwise.
    default_run: ClassVar[RunState] = RunState.NOT_RUN

    def __init__(
        self,
        message: str = '',
        *,
        run: RunState | None = None,
        retry_in_ms: float | None = None,
    ) -> None:
        """Build the failure.

        :param retry_in_ms: when to come back, counted from the answer;
            ``None`` where a resend cannot help.
        """
        super().__init__(message or (type(self).__doc__ or '').splitlines()[0])
        self.run = run or self.default_run
        self.retry_in_ms = retry_in_ms

    @property
    def message(self) -> str:
        """Give the text for people."""
        return str(self.args[0])
