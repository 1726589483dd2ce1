"""Events of attempts at batch items."""

from __future__ import annotations

from typing import ClassVar

from citrondyke.decisions.core.decision_event import DecisionEvent
from citrondyke.decisions.core.server_call import ReplyKind
from citrondyke.ids import RequestId, ServerId, SoftwareVersion

__all__ = ('ItemAttemptFailed', 'ItemBegunAnew')


class ItemAttemptFailed(DecisionEvent, frozen=True, kw_only=True):
    """An attempt at an item counts as failed."""

    message: ClassVar[str] = 'item attempt failed'

    request_id: RequestId
    server_id: ServerId
    kind: ReplyKind
    status: int
    #: Failed attempts, with this one.
    attempts: int
    was_isolated: bool
    #: Other items of this instance on the server when the attempt began.
    beside_at_start: int
    #: ... and when it ended.
    beside_at_end: int
    elapsed_ms: float


class ItemBegunAnew(DecisionEvent, frozen=True, kw_only=True):
    """An interrupted item drops its events, as no server of their software version is left."""

    message: ClassVar[str] = 'item begun anew'

    request_id: RequestId
    server_id: ServerId
    frames_count: int
    version_before: SoftwareVersion | None
    software_version: SoftwareVersion | None
