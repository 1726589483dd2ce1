"""One request to one backend server, and its reply."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import RequestId, ServerId
from citrondyke.util.media_type import is_event_stream

__all__ = ('ReplyKind', 'ServerCall', 'ServerReply')


class ServerCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request and the server to send it to."""

    server_id: ServerId
    request_id: RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes
    #: Whether the response is a stream of server-sent events that are forwarded as they arrive.
    is_streamed: bool = False
    #: Whether 429 and 503 mean that the server rejected the request, as model engines do. A plain
    #: service can return 503 after the request ran, so there it is an ordinary response.
    refuses_by_status: bool = False
    #: Whether to open a connection for it. A server that exits closes idle connections one after
    #: the other: a request that is sent on one in between is interrupted although it never ran.
    needs_new_connection: bool = False
    #: Frames of the same response that the caller has already received.
    resume_from_frame: int = 0
    #: Monotonic time after which the response is of no use.
    deadline_ms: float
    #: Firing it aborts the request at the backend server.
    cancel: Signal[Any]
    #: Called as ``on_frame(now_ms)`` for each frame, unless ``None``.
    on_frame: Any = None


class ReplyKind(Enum):
    """How one attempt ended."""

    #: A complete response arrived, with any status.
    COMPLETE = 'complete'
    #: The connection failed, so nothing was sent.
    UNREACHABLE = 'unreachable'
    #: The deadline passed before there was a connection, so nothing was sent.
    EXPIRED = 'expired'
    #: The backend server rejected the request without running it.
    REFUSED = 'refused'
    #: The request was sent, completely or in part, and the response is incomplete.
    CUT = 'cut'
    #: The same, because ``ServerCall.cancel`` fired.
    CANCELLED = 'cancelled'
    #: The same, because the deadline passed.
    LATE = 'late'
    #: The caller disconnected.
    CALLER_GONE = 'caller_gone'


class ServerReply(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one attempt."""

    kind: ReplyKind
    status: int = 0
    content_type: str = ''
    #: The body of a plain response; empty for a streamed one.
    body: bytes = b''
    #: Whether the end of the body was that of the connection, which may have come early.
    ends_with_connection: bool = False
    #: Frames that arrived in this attempt, if the response is buffered and not forwarded.
    frames: tuple[bytes, ...] = ()
    #: How many frames arrived in this attempt.
    frames_count: int = 0
    #: Time from the send to the first frame or byte of the response.
    first_frame_ms: float | None = None
    #: Retry time stated by the server, in milliseconds from now.
    retry_in_ms: float | None = None

    @property
    def is_event_stream(self) -> bool:
        """Return whether the response was a stream of events."""
        return is_event_stream(self.content_type)

    @property
    def was_not_run(self) -> bool:
        """Return whether the request certainly did not run in this attempt."""
        return self.kind in (ReplyKind.UNREACHABLE, ReplyKind.EXPIRED, ReplyKind.REFUSED)
