"""An online request as passed to the decision logic, and its result."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from citrondyke.decisions.core.server_call import ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.rejection import Rejection
from citrondyke.ids import ClassName, PromptPart, RequestId, TargetName, TenantId

__all__ = ('OnlineRequest', 'OnlineResult', 'OnlineResultKind')


class OnlineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated online request."""

    request_id: RequestId
    tenant_id: TenantId
    class_name: ClassName
    target: TargetName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes
    is_streamed: bool
    #: Whether it is for a model engine, not for a plain service.
    is_model: bool
    #: Whether it may be sent again after its response was lost.
    is_repeatable: bool
    #: Bucket of the digest of the prompt's prefix, if requests share one.
    prefix_bucket: int | None = None
    #: Parts of the prompt that other requests may share, in order.
    prompt_parts: tuple[PromptPart, ...] = ()
    #: The class's first-token target.
    first_token_target_ms: float
    #: Monotonic time after which the response is of no use.
    deadline_ms: float
    #: Fires when the caller disconnects.
    cancel: Signal[Any]


class OnlineResultKind(Enum):
    """How an online request ended."""

    ANSWERED = 'answered'
    #: Rejected; no backend server can have run it.
    REFUSED = 'refused'
    #: Sent, but no complete response arrived.
    BROKEN = 'broken'
    #: The deadline passed after it was sent.
    LATE = 'late'
    CALLER_GONE = 'caller_gone'


class OnlineResult(msgspec.Struct, frozen=True, kw_only=True):
    """The single outcome of an online request."""

    kind: OnlineResultKind
    reply: ServerReply | None = None
    rejection: Rejection | None = None
    #: Whether a backend server may have run it.
    may_have_run: bool = False
    first_frame_ms: float | None = None
    frames_count: int = 0
    attempts: int = 0
