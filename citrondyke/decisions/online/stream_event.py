"""Events of streams whose end is in doubt."""

from __future__ import annotations

from typing import ClassVar

from citrondyke.decisions.core.decision_event import DecisionEvent
from citrondyke.ids import RequestId, ServerId

__all__ = ('StreamEndUnproven',)


class StreamEndUnproven(DecisionEvent, frozen=True, kw_only=True):
    """A run that went on after an interruption ended without a proof of the stream's end."""

    message: ClassVar[str] = 'stream end unproven'

    request_id: RequestId
    server_id: ServerId
    status: int
    content_type: str
    #: Events of this run.
    events_count: int
    #: Events that the caller has.
    last_event_number: int
