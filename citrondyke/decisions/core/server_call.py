"""One request to one backend server, and how it ended."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import RequestId, ServerId

__all__ = ('ReplyKind', 'ServerCall', 'ServerReply')


class ServerCall(msgspec.Struct, frozen=True, kw_only=True):
    """What to send and where."""

    server_id: ServerId
    request_id: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes
    #: Whether the answer comes as server-sent events that are passed on as they come.
    is_streamed: bool = False
    #: Whether 429 and 503 mean that the request was not taken, as with model engines. A plain
    #: service's 503 can come after it ran, so there it is an answer like any other.
    refuses_by_status: bool = False
    #: Frames of the same answer that the caller has already.
    resume_from_frame: int = 0
    #: Monotonic time after which the answer is of no use.
    deadline_ms: float
    #: Firing it cuts the request at the backend server.
    cancel: Signal[Any]
    #: Called as ``on_frame(now_ms)`` for each frame, where someone learns from them.
    on_frame: Any = None


class ReplyKind(Enum):
    """What is known of the request after one attempt."""

    #: The whole answer is there, whatever its status.
    COMPLETE = 'complete'
    #: No connection was made, so nothing was sent.
    UNREACHABLE = 'unreachable'
    #: The backend server said that it did not take the request.
    REFUSED = 'refused'
    #: The request was sent, wholly or in part, and the answer is not whole.
    CUT = 'cut'
    #: The same, and it was ``ServerCall.cancel`` that cut it.
    CANCELLED = 'cancelled'
    #: The same, because the deadline passed.
    LATE = 'late'
    #: The caller went away.
    CALLER_GONE = 'caller_gone'


class ServerReply(msgspec.Struct, frozen=True, kw_only=True):
    """The end of one attempt."""

    kind: ReplyKind
    status: int = 0
    content_type: str = ''
    #: The whole body of a plain answer; empty for a streamed one.
    body: bytes = b''
    #: Frames that arrived in this attempt, where the answer is kept and not passed on.
    frames: tuple[bytes, ...] = ()
    #: How many frames arrived in this attempt.
    frames_count: int = 0
    #: From the send to the first frame or byte of the answer.
    first_frame_ms: float | None = None
    #: When the server asks to be called again, in milliseconds from now.
    retry_in_ms: float | None = None

    @property
    def was_not_run(self) -> bool:
        """Tell whether the request provably never ran in this attempt."""
        return self.kind in (ReplyKind.UNREACHABLE, ReplyKind.REFUSED)
