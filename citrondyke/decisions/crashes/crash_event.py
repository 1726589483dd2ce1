"""Events of crashes that count against requests, and of requests that are blocked for them."""

from __future__ import annotations

from typing import ClassVar

from citrondyke.decisions.core.decision_event import DecisionEvent
from citrondyke.ids import ContentDigest, RequestId, ServerId

__all__ = ('CrashCounted', 'RequestBlocked')


class CrashCounted(DecisionEvent, frozen=True, kw_only=True):
    """An interrupted response counts against a request's content or a part of its prompt."""

    message: ClassVar[str] = 'crash counted'

    server_id: ServerId
    digest: ContentDigest
    is_prompt_part: bool
    #: Weighted crashes, with this one.
    crashes: float


class RequestBlocked(DecisionEvent, frozen=True, kw_only=True):
    """A request or an item is not sent."""

    message: ClassVar[str] = 'request blocked'

    request_id: RequestId
    digest: ContentDigest
    is_prompt_part: bool
    crashes: float
    #: Whether its verdict is still open, since a probe is running.
    is_probe_running: bool
