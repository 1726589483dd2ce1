"""The fleet-wide bound on the tokens of accepted batch items that wait on a route."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import ConfigVersion, InstanceId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from citrondyke.decisions.batch.job import JobHead
    from citrondyke.ids import RouteName

__all__ = (
    'NO_CONFIGURATION',
    'BacklogFull',
    'BacklogLimit',
    'PeerShares',
    'ShareValidity',
    'TokenShare',
    'WithinBacklogLimit',
    'sum_peer_shares',
)

#: Part of the tolerated overshoot that all instances together may hold unused, so that an
#: acceptance far from the bound needs no further call of the store. The rest is for what they
#: have finished or taken over and not yet written.
HEADROOM_PART = 0.5
#: Part of the overshoot that is never given out: jobs that change hands are counted late.
OVERSHOOT_RESERVE_PART = 0.1
#: From this part of the bound on, what leaves the count is written soon: a job that fits by the
#: count of a second ago must not be turned away.
NEAR_LIMIT_PART = 0.5
#: Bounds of the time after which a caller without room is asked back: a look of another instance
#: takes 300 ms to show that items are finished, and nobody waits longer than seconds.
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 5_000.0
#: Stands in a share for the configuration under which nothing is allowed.
NO_CONFIGURATION = ConfigVersion(0)
#: Where nothing has left the count yet, there is no rate to go by.
UNKNOWN_RATE_RETRY_MS = 1_000.0


class TokenShare(msgspec.Struct, frozen=True):
    """What one life of one instance writes of a route."""

    instance: InstanceId
    #: Tokens up to which it may accept jobs without asking.
    held: int
    #: Tokens of its jobs' items that no server had finished when it wrote.
    used: int
    #: Tokens that have left its count since its start; the rate of it tells when there is room.
    left: int = 0
    #: Configuration under whose bound it was given; it allows nothing under another one, as the
    #: bound may have been another in between, with others that filled the room. None where all
    #: shares passed the bound: what jobs leave then is no room to accept others.
    config_version: ConfigVersion = NO_CONFIGURATION
    #: Tokens of the finished items of its open jobs. Who counts its jobs by their heads, as wholes,
    #: needs it to tell what else the share covers.
    finished: int = 0
    #: It stops, as planned: the share only counts, for what it sent to the store last.
    has_left: bool = False


class PeerShares(msgspec.Struct, frozen=True):
    """What everybody else has on a route, by one read."""

    held: int
    used: int
    left: int

    def plus(self, held: int, used: int, left: int) -> PeerShares:
        """Add one more."""
        return PeerShares(self.held + held, self.used + used, self.left + left)


class WithinBacklogLimit(msgspec.Struct, frozen=True):
    """A job fits."""

    #: What this instance is to hold from then on.
    held: int


class BacklogFull(msgspec.Struct, frozen=True):
    """A job does not fit."""

    #: Tokens that must leave the count first.
    excess: int
    #: ``None`` where it never fits.
    retry_in_ms: float | None


class ShareValidity(Enum):
    """How another life's share counts."""

    ALIVE = 'alive'
    #: Gone, but what it sent to the store last may still be done.
    UNCERTAIN = 'doubtful'
    DEAD = 'gone'


def sum_peer_shares(
    shares: Mapping[str, TokenShare],
    own_incarnation: str,
    validity_of: Callable[[str, TokenShare], ShareValidity],
    heads: Iterable[JobHead],
    route: RouteName,
) -> PeerShares:
    """Add up what others have.

    The jobs of a life that is gone are counted by their heads, until somebody has claimed them:
    its share would count them twice from then on, and for good. Whole jobs are counted then, as
    nobody knows how far they had come; that errs upwards. For some seconds the rest of its share
    counts too: an acceptance that it sent before its end may be done late, and with its room
    given away the bound would be passed.

    :param shares: by life.
    :param heads: of the open jobs that are known.
    """
    total = PeerShares(0, 0, 0)
    orphaned: dict[str, int] = {}
    claimed: dict[str, int] = {}
    for head in heads:
        if head.backlog_name == route and head.owner_life != own_incarnation:
            orphaned[head.owner_life] = orphaned.get(head.owner_life, 0) + head.tokens
        if head.backlog_name == route:
            claimed[head.life_before] = claimed.get(head.life_before, 0) + head.tokens
    for life, share in shares.items():
        if life == own_incarnation:
            continue
        validity = validity_of(life, share)
        if validity is ShareValidity.ALIVE:
            # Its jobs are counted by what it tells.
            orphaned.pop(life, None)
            total = total.plus(max(share.held, share.used), share.used, share.left)
        elif validity is ShareValidity.UNCERTAIN:
            known = orphaned.get(life, 0) + claimed.get(life, 0) - share.finished
            total = total.plus(max(0, share.held - known), max(0, share.used - known), 0)
    whole = sum(orphaned.values())
    return total.plus(whole, whole, 0)


class BacklogLimit:
    """Decides who may accept how much.

    Each instance holds a share of the bound, and accepts within it without asking anybody: ten
    that accept at the same moment stay within the sum of their shares. A share grows by a write
    that fails if anybody else's grew since the read that it rests on, so that the sum never
    passes the bound by more than is tolerated. It shrinks without a condition, as that only
    makes room. What an instance holds beyond its use is kept small against the tolerance, so
    that a job which fits is not turned away for what others hold in vain.
    """

    def __init__(self, limit: int, overshoot: float, instances_count: int) -> None:
        """Use a bound as it is configured.

        :param limit: of the tokens on the route.
        :param overshoot: tolerated part of it beyond.
        """
        self._limit = limit
        self._ceiling = limit * (1.0 + overshoot * (1.0 - OVERSHOOT_RESERVE_PART))
        self._headroom = int(limit * overshoot * HEADROOM_PART / max(1, instances_count))

    def is_headroom_in_range(self, held: int, used: int) -> bool:
        """Tell whether what an instance holds beyond its use is about what it may hold so."""
        return self._headroom / 2 <= held - used <= 2 * self._headroom

    def is_near_limit(self, used_by_all: int) -> bool:
        """Tell whether what leaves the count must be told soon."""
        return used_by_all > self._limit * NEAR_LIMIT_PART

    def share_to_hold(self, used: int, others: PeerShares) -> int:
        """Give what to hold besides what is used, as far as there is room."""
        room = int(self._ceiling) - others.held - used
        return used + max(0, min(self._headroom, room))

    def is_within_ceiling(self, held: int, others: PeerShares) -> bool:
        """Tell whether all shares together are within the bound and what is tolerated."""
        return others.held + held <= int(self._ceiling)

    def check(
        self, used: int, tokens: int, others: PeerShares, tokens_per_s: float
    ) -> WithinBacklogLimit | BacklogFull:
        """Decide on a job that does not fit into this instance's share.

        :param used: by this instance, without the job.
        :param tokens_per_s: by which all leave the count; 0 where that is not known.
        """
        excess = others.used + used + tokens - self._limit
        over_ceiling = others.held + used + tokens - int(self._ceiling)
        if excess <= 0 and over_ceiling <= 0:
            return WithinBacklogLimit(self.share_to_hold(used + tokens, others))
        excess = max(excess, over_ceiling)
        if tokens > self._limit:
            return BacklogFull(excess, None)
        wait_ms = excess / tokens_per_s * 1e3 if tokens_per_s > 0 else UNKNOWN_RATE_RETRY_MS
        return BacklogFull(excess, min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)))
