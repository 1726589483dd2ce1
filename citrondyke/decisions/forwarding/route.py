"""Routes: which requests a route matches, which services serve it, what may be repeated."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import RouteName, ServiceName

if TYPE_CHECKING:
    from random import Random

__all__ = ('Route', 'RouteKind', 'RouteLimits', 'ServiceShare')


class RouteKind(Enum):
    """Kind of work of a route."""

    #: May run more than once.
    IDEMPOTENT = 'idempotent'
    #: Runs at most once for each request id.
    ONCE = 'once'
    #: A stream of events with increasing ids.
    STREAM = 'stream'
    #: Jobs of many items that run later.
    BATCH = 'batch'


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

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
    #: Longest time that a caller waits.
    timeout_ms: float
    #: Target time until the answer, or a stream's first event.
    target_ms: float
    #: 0 is the most urgent.
    priority: int = 0
    #: Number of servers that may run one request, one after the other.
    attempts_limit: int = 1
    #: Whether a stream may be resumed at another server after its last event.
    is_resumable: bool = False
    #: Batch jobs: time from submission until all results are due.
    completion_target_ms: float = 0.0
    #: Batch jobs: time from submission until an item may be abandoned.
    item_wait_ms: float = 0.0
    #: Batch jobs: limit on the tokens of an account's accepted items that no server has finished,
    #: over all instances; 0 is no limit.
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
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that fails at one server may run at another."""
        return self.may_repeat and self.attempts_limit > 1


class RouteLimits(msgspec.Struct, frozen=True):
    """Limits on a caller's request size and on the time it may take to arrive."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_within_ms: float = 3_000.0
    idle_within_ms: float = 15_000.0
