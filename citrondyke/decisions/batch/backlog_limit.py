"""The fleet-wide limit on the backlog tokens of accepted batch items on a route."""

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

#: Part of the permitted overshoot that all instances together may hold unused, so that an
#: acceptance far from the limit needs no additional store call. The rest covers items that were
#: finished or taken over and are not recorded in the store yet.
HEADROOM_PART = 0.5
#: Part of the overshoot that is never granted: jobs whose owner changes are counted late.
OVERSHOOT_RESERVE_PART = 0.1
#: From this part of the limit on, a shrinking backlog is published soon: a job that would have fit
#: a second ago must not be rejected.
NEAR_LIMIT_PART = 0.5
#: Bounds of the retry time of a rejected caller: other instances learn of finished items by a poll
#: every 300 ms, and callers wait no longer than seconds.
MIN_RETRY_MS = 300.0
MAX_RETRY_MS = 5_000.0
#: Configuration version of a share that allows no acceptance.
NO_CONFIGURATION = ConfigVersion(0)
#: Retry time while the drain rate is unknown, because no item has left the backlog yet.
UNKNOWN_RATE_RETRY_MS = 1_000.0


class TokenShare(msgspec.Struct, frozen=True):
    """The stored share of one incarnation of one instance in the backlog limit of a route."""

    instance: InstanceId
    #: Tokens up to which the instance may accept jobs without a store call.
    held: int
    #: Tokens of its jobs' items that no server had finished at the time of the write.
    used: int
    #: Tokens that have left its backlog since its start; peers compute the drain rate from it.
    left: int = 0
    #: Configuration under whose limit the share was granted. It allows no acceptance under another
    #: one: the limit may have changed in between, and other instances may have used the capacity.
    #: ``NO_CONFIGURATION`` if all shares together exceeded the limit; tokens released then do not
    #: allow further acceptances.
    config_version: ConfigVersion = NO_CONFIGURATION
    #: Tokens of the finished items of its open jobs. A peer that counts these jobs as a whole, by
    #: their heads, needs it to find out what else the share covers.
    finished: int = 0
    #: Set at a planned stop: the share is only counted, for the last writes of the instance.
    has_left: bool = False


class PeerShares(msgspec.Struct, frozen=True):
    """Sum of the shares of all other instances on a route, from one read."""

    held: int
    used: int
    left: int

    def plus(self, held: int, used: int, left: int) -> PeerShares:
        """Return the sum with another share."""
        return PeerShares(self.held + held, self.used + used, self.left + left)


class WithinBacklogLimit(msgspec.Struct, frozen=True):
    """The job fits within the limit."""

    #: Share that this instance is to hold afterwards, in tokens.
    held: int


class BacklogFull(msgspec.Struct, frozen=True):
    """The job does not fit within the limit."""

    #: Tokens that must leave the backlog first.
    excess: int
    #: ``None`` if the job can never fit.
    retry_in_ms: float | None


class ShareValidity(Enum):
    """How the share of another incarnation counts."""

    ALIVE = 'alive'
    #: Dead, but its last writes may still take effect.
    UNCERTAIN = 'doubtful'
    DEAD = 'gone'


def sum_peer_shares(
    shares: Mapping[str, TokenShare],
    own_incarnation: str,
    validity_of: Callable[[str, TokenShare], ShareValidity],
    heads: Iterable[JobHead],
    route: RouteName,
) -> PeerShares:
    """Return the sum of the shares of all other incarnations.

    The jobs of a dead incarnation are counted by their heads until they are claimed; its share
    would count them twice from then on, permanently. They are counted as a whole, because their
    progress is unknown, so the sum is rather too high. For some seconds the rest of the dead
    incarnation's share counts as well: an acceptance that it sent before it died may take effect
    late, and the limit would be exceeded if those tokens had been granted to others.

    :param shares: shares by incarnation.
    :param heads: heads of the known open jobs.
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
            # Its jobs are counted by the share that it publishes.
            orphaned.pop(life, None)
            total = total.plus(max(share.held, share.used), share.used, share.left)
        elif validity is ShareValidity.UNCERTAIN:
            known = orphaned.get(life, 0) + claimed.get(life, 0) - share.finished
            total = total.plus(max(0, share.held - known), max(0, share.used - known), 0)
    orphaned_tokens = sum(orphaned.values())
    return total.plus(orphaned_tokens, orphaned_tokens, 0)


class BacklogLimit:
    """Rules by which instances divide the backlog limit of a route.

    Handles concurrent acceptances at many instances. Each instance holds a share of the limit and
    accepts within it without a store call, so ten that accept at the same time stay within the sum
    of their shares. A share grows by a conditional write that fails if another share has grown
    since the read, so the sum exceeds the limit by no more than the permitted overshoot. A share
    shrinks unconditionally, which only frees tokens. The unused part of a share is small compared
    with the overshoot, so that a job that fits is not rejected because peers hold unused tokens.
    """

    def __init__(self, limit: int, overshoot: float, instances_count: int) -> None:
        """Divide a configured limit.

        :param limit: backlog tokens of the route.
        :param overshoot: permitted excess, as a fraction of the limit.
        """
        self._limit = limit
        self._ceiling = limit * (1.0 + overshoot * (1.0 - OVERSHOOT_RESERVE_PART))
        self._headroom = int(limit * overshoot * HEADROOM_PART / max(1, instances_count))

    def is_headroom_in_range(self, held: int, used: int) -> bool:
        """Return whether the unused part of a share is within a factor of 2 of its target."""
        return self._headroom / 2 <= held - used <= 2 * self._headroom

    def is_near_limit(self, used_by_all: int) -> bool:
        """Return whether a shrinking backlog must be published soon."""
        return used_by_all > self._limit * NEAR_LIMIT_PART

    def share_to_hold(self, used: int, others: PeerShares) -> int:
        """Return the share to hold: the used tokens and as much headroom as the limit allows."""
        free_tokens = int(self._ceiling) - others.held - used
        return used + max(0, min(self._headroom, free_tokens))

    def is_within_ceiling(self, held: int, others: PeerShares) -> bool:
        """Return whether all shares together are within the limit and the permitted overshoot."""
        return others.held + held <= int(self._ceiling)

    def check(
        self, used: int, tokens: int, others: PeerShares, tokens_per_s: float
    ) -> WithinBacklogLimit | BacklogFull:
        """Check a job that does not fit into this instance's share.

        :param used: tokens used by this instance, without the job.
        :param tokens: tokens of the job.
        :param tokens_per_s: drain rate over all instances; 0 if it is unknown.
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
