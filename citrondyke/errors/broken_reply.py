"""The failure ``broken_reply``."""

from __future__ import annotations

from enum import Enum

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('BrokenReplyError', 'ReplyFailureKind')


class ReplyFailureKind(Enum):
    """How an answer failed to come."""

    #: No connection came about; nothing was sent.
    NO_CONNECTION = 'no_connection'
    #: The connection ended before the answer was whole.
    CUT = 'cut'
    #: Nothing came in time.
    SILENT = 'silent'
    #: What came is no answer, or belongs to another request.
    MALFORMED = 'malformed'


class BrokenReplyError(CitrondykeError):
    """The other end's answer did not come whole."""

    code = 'broken_reply'
    http_status = 502
    default_run = RunState.UNKNOWN

    def __init__(self, kind: ReplyFailureKind, detail: str = '') -> None:
        """Name how it failed."""
        super().__init__(f'{kind.value}: {detail}' if detail else kind.value)
        self.failure_kind = kind
