"""What this instance has seen of the others' shares, and which of them still count."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.batch.backlog_limit import PeerShares, ShareValidity, sum_peer_shares
from citrondyke.gateway.jobs.backlog_count import UNCERTAIN_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.batch.backlog_limit import TokenShare
    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.jobs.token_shares import SharesRead
    from citrondyke.gateway.replication.fleet_queries import FleetQueries
    from citrondyke.ids import RouteName

__all__ = ('ObservedShares',)


class _Seen(msgspec.Struct, frozen=True):
    version: int
    since_ms: float


class ObservedShares:
    """Dates each version of each share by this instance's own clock."""

    def __init__(self, context: Context, life: str, facts: FleetQueries) -> None:
        """Start having seen none.

        :param life: names this life of this instance.
        """
        self._context = context
        self._life = life
        self._facts = facts
        self._seen: dict[str, _Seen] = {}

    def note(self, read: SharesRead) -> None:
        """Take in a read of all shares."""
        now_ms = self._context.now_ms()
        for life, version in read.versions.items():
            seen = self._seen.get(life)
            if seen is None or seen.version != version:
                self._seen[life] = _Seen(version, now_ms)
        for life in [each for each in self._seen if each not in read.versions]:
            del self._seen[life]

    def lives(self) -> Iterable[str]:
        """List the lives that have a share."""
        return list(self._seen)

    def others(self, read: SharesRead, route: RouteName) -> PeerShares:
        """Add up what others have by a read that was noted."""
        return sum_peer_shares(read.shares, self._life, self._standing, self._facts.heads(), route)

    def gone(self, read: SharesRead) -> Iterable[tuple[str, int]]:
        """List the lives, with their shares' versions, that count no more."""
        return [
            (life, self._seen[life].version)
            for life, share in read.shares.items()
            if life != self._life and self._standing(life, share) is ShareValidity.DEAD
        ]

    def _standing(self, life: str, share: TokenShare) -> ShareValidity:
        seen = self._seen[life]
        gone_ms = self._facts.dead_for_ms(share.instance, life, seen.version, seen.since_ms)
        if share.has_left:
            # From then on it counts as gone, though its heartbeats go on until its jobs are given
            # back; what it had sent before may have been seen late.
            gone_ms = max(gone_ms or 0.0, self._context.now_ms() - seen.since_ms)
        if gone_ms is None:
            return ShareValidity.ALIVE
        return ShareValidity.UNCERTAIN if gone_ms < UNCERTAIN_MS else ShareValidity.DEAD
