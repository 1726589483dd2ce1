"""Events of the choice of backend servers for online requests."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, ClassVar

from citrondyke.decisions.core.decision_event import DecisionEvent
from citrondyke.ids import ServerId, TargetName

if TYPE_CHECKING:
    from citrondyke.decisions.online.fleet import TargetServers

__all__ = ('EjectionReason', 'NoUsableServer', 'ServerEjected', 'no_usable_server')


class EjectionReason(Enum):
    """Why a server was ejected."""

    FAILURES = 'failures'
    #: The request that probed it after an ejection failed.
    FAILED_PROBE = 'failed_probe'
    SLOW = 'slow'


class ServerEjected(DecisionEvent, frozen=True, kw_only=True):
    """A server gets no online requests for a while."""

    message: ClassVar[str] = 'server ejected'

    target: TargetName
    server_id: ServerId
    reason: EjectionReason
    failures_in_row: int
    #: Average time to the first token.
    first_frame_ms: float
    own_online: int
    ejections: int
    pause_ms: float


class NoUsableServer(DecisionEvent, frozen=True, kw_only=True):
    """A request found no server that it may be sent to."""

    message: ClassVar[str] = 'no usable server'

    target: TargetName
    listed_count: int
    #: Leaving, or not live by the list.
    leaving_count: int
    #: Servers at which this request has failed.
    tried_count: int
    ejected_count: int
    #: Servers that are probed by one request at a time.
    probation_count: int


def no_usable_server(
    target: TargetName, servers: TargetServers | None, tried_count: int, now_ms: float
) -> NoUsableServer:
    """Create the event with the state of the target's servers."""
    views = [] if servers is None else servers.views
    return NoUsableServer(
        target=target,
        listed_count=len(views),
        leaving_count=sum(not view.accepts_work for view in views),
        tried_count=tried_count,
        ejected_count=sum(view.ejected_until_ms > now_ms for view in views),
        probation_count=sum(view.is_on_probation for view in views),
    )
