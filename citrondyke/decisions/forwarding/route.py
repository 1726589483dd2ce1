"""One route: which requests it takes, who serves them, and what may be repeated."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import RouteName, ServiceName

if TYPE_CHECKING:
    from random import Random

__all__ = ('Route', 'RouteKind', 'RouteLimits', 'ServiceShare')


class RouteKind(Enum):
    """What kind of work a route takes."""

    #: May run more than once.
    IDEMPOTENT = 'idempotent'
    #: Runs at most once for each request id.
    ONCE = 'once'
    #: A stream of events with increasing ids.
    STREAM = 'stream'
    #: Jobs of many items that run later.
    BATCH = 'batch'


class ServiceShare(msgspec.Struct, frozen=True):
    """A part of a route's requests that goes to one service."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route of the configuration."""

    name: RouteName
    host: str
    #: Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    #: The longest that a caller is kept waiting.
    timeout_ms: float
    #: Until the answer, or a stream's first event, for full benefit.
    target_ms: float
    #: 0 is the most urgent.
    priority: int = 0
    #: Servers that may run one request, one after the other.
    attempts_limit: int = 1
    #: Whether a stream may go on at another server behind its last event.
    is_resumable: bool = False
    #: Batch jobs: from the first submission until all results are due.
    completion_target_ms: float = 0.0
    #: Batch jobs: from the first submission until an item may be abandoned.
    item_wait_ms: float = 0.0
    #: Batch jobs: tokens of an account's accepted items that no server has finished, at all
    #: instances; 0 is no limit.
    waiting_tokens_limit: int = 0
    #: Whether it may be used without a key.
    is_public: bool = False

    def pick_service(self, random: Random) -> ServiceName:
        """Draw the service of one request by the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    @property
    def may_run_again(self) -> bool:
        """Tell whether a request that one server fails may run at another."""
        return self.may_repeat and self.attempts_limit > 1


class RouteLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send and on how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_within_ms: float = 3_000.0
    idle_within_ms: float = 15_000.0
