"""Peers' shares as observed by this instance, and which of them still count."""

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


class _ObservedVersion(msgspec.Struct, frozen=True):
    version: int
    since_ms: float


class ObservedShares:
    """Records when each version of each share was first observed, on the local clock."""

    def __init__(self, context: Context, incarnation: str, queries: FleetQueries) -> None:
        """Start without observations.

        :param incarnation: identifies the current incarnation of this instance.
        """
        self._context = context
        self._incarnation = incarnation
        self._queries = queries
        self._observed: dict[str, _ObservedVersion] = {}

    def observe(self, read: SharesRead) -> None:
        """Record a read of all shares."""
        now_ms = self._context.now_ms()
        for incarnation, version in read.versions.items():
            observed = self._observed.get(incarnation)
            if observed is None or observed.version != version:
                self._observed[incarnation] = _ObservedVersion(version, now_ms)
        for incarnation in [each for each in self._observed if each not in read.versions]:
            del self._observed[incarnation]

    def incarnations(self) -> Iterable[str]:
        """Return the incarnations that have a share."""
        return list(self._observed)

    def sum_others(self, read: SharesRead, route: RouteName) -> PeerShares:
        """Return the sum of the peers' shares from a read that was observed before."""
        return sum_peer_shares(
            read.shares, self._incarnation, self._validity_of, self._queries.heads(), route
        )

    def dead(self, read: SharesRead) -> Iterable[tuple[str, int]]:
        """Return incarnations whose shares no longer count, with the versions of these shares."""
        return [
            (incarnation, self._observed[incarnation].version)
            for incarnation, share in read.shares.items()
            if incarnation != self._incarnation
            and self._validity_of(incarnation, share) is ShareValidity.DEAD
        ]

    def _validity_of(self, incarnation: str, share: TokenShare) -> ShareValidity:
        observed = self._observed[incarnation]
        dead_ms = self._queries.dead_for_ms(
            share.instance, incarnation, observed.version, observed.since_ms
        )
        if share.has_left:
            # It counts as dead from that version on, although its heartbeats continue until its
            # jobs are released. Writes that it sent before may still take effect late.
            dead_ms = max(dead_ms or 0.0, self._context.now_ms() - observed.since_ms)
        if dead_ms is None:
            return ShareValidity.ALIVE
        return ShareValidity.UNCERTAIN if dead_ms < UNCERTAIN_MS else ShareValidity.DEAD
