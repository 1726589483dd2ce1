"""The ``broken_reply`` error."""

from __future__ import annotations

from enum import Enum

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('BrokenReplyError', 'ReplyFailureKind')


class ReplyFailureKind(Enum):
    """How reading a response failed."""

    #: No connection was established; no byte was sent.
    NO_CONNECTION = 'no_connection'
    #: The connection closed before the response was complete.
    CUT = 'cut'
    #: No data arrived before the timeout.
    SILENT = 'silent'
    #: The data received is not a valid response, or belongs to another request.
    MALFORMED = 'malformed'
    #: The response, or a part of it, is larger than any valid one.
    OVERSIZED = 'oversized'


class BrokenReplyError(CitrondykeError):
    """No complete response was received."""

    code = 'broken_reply'
    http_status = 502
    default_run = RunState.UNKNOWN

    def __init__(self, kind: ReplyFailureKind, detail: str = '') -> None:
        """Initialize the error.

        :param kind: how reading the response failed.
        :param detail: appended to the message.
        """
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        self.failure_kind = kind
