"""The share of a route's backlog limit that this instance holds, and its stored row."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import msgspec

from citrondyke.decisions.batch.backlog_limit import NO_CONFIGURATION, TokenShare
from citrondyke.storage.failure import UNAVAILABLE, PlatformFailure
from citrondyke.storage.partitioned_table import PartCommitted, PartConflict

if TYPE_CHECKING:
    from citrondyke.gateway.jobs.token_shares import SharesRead, TokenShares
    from citrondyke.ids import ConfigVersion, RouteName

__all__ = ('OwnTokenShare',)

log = logbook.Logger(__name__)


class OwnTokenShare:
    """Tracks the part of this instance's share that is known to be durable.

    A write whose reply is lost leaves it uncertain which of two sizes the row holds. The smaller
    one is assumed, since peers may have used the difference, and the next poll writes again.
    """

    def __init__(self, route: RouteName, incarnation: str, shares: TokenShares) -> None:
        """Start without a share.

        :param incarnation: identifies the current incarnation of this instance.
        """
        self._route = route
        self._incarnation = incarnation
        self._shares = shares
        #: ``None`` if there is certainly no row, or none is known.
        self.share: TokenShare | None = None
        self._version = 0
        #: Whether the row may differ from the share.
        self.is_uncertain = False

    def is_certain_at_version(self, config_version: ConfigVersion) -> bool:
        """Return whether the row certainly holds a share granted under a configuration."""
        share = self.share
        return (
            share is not None and not self.is_uncertain and share.config_version == config_version
        )

    def allows(self, config_version: ConfigVersion, used: int) -> bool:
        """Return whether an amount of tokens may be used without a store call."""
        share = self.share
        return share is not None and share.config_version == config_version and used <= share.held

    def apply_read(self, read: SharesRead) -> None:
        """Apply a read, which may show a write whose reply was lost."""
        share, version = read.shares.get(self._incarnation), read.versions.get(self._incarnation, 0)
        if share is not None and version > self._version:
            self._set_confirmed(share, version)

    def grow(
        self, read: SharesRead, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a larger share if no share has grown since the read."""
        answer = self._shares.grow(self._route, read, share)
        if isinstance(answer, PartCommitted):
            self._set_confirmed(share, answer.version)
        elif isinstance(answer, PlatformFailure):
            # Makes the next poll write again: if this write was applied without a reply, it would
            # withhold its tokens from peers permanently.
            self.is_uncertain = True
        return answer

    def write(self, read: SharesRead, share: TokenShare) -> None:
        """Write a share that was computed from a read of the peers' shares."""
        before = self.share
        # Cleared by a successful reply; a write without a reply stays uncertain.
        self.is_uncertain = True
        if before is None or share.held > before.held:
            answer = self._shares.grow(self._route, read, share)
        else:
            self.share = msgspec.structs.replace(before, held=share.held)
            if share.config_version in (before.config_version, NO_CONFIGURATION):
                answer = self._shares.shrink(self._route, self._version, share)
            else:
                answer = self._shares.renew(self._route, read, share)
        if isinstance(answer, PartCommitted):
            self._set_confirmed(share, answer.version)
            log.info(
                'tokens.share',
                extra={
                    'route': self._route,
                    'held': share.held,
                    'used': share.used,
                    'config_version': share.config_version,
                },
            )
            return
        # The next poll retries. An immediate retry is useless while reads are seconds old: each
        # instance would read and write as fast as the store answers until reads are current.
        reason = 'conflict' if isinstance(answer, PartConflict) else answer.reason.value
        log.info(
            'tokens.share_not_written',
            extra={'route': self._route, 'used': share.used, 'reason': reason},
        )

    def withdraw(self, replacement: TokenShare) -> PlatformFailure | None:
        """Remove the row.

        :param replacement: share that is written first if the state of the row is uncertain.
        """
        if self.is_uncertain and not self._overwrite_uncertain(replacement):
            return UNAVAILABLE
        if self.share is None:
            return None
        answer = self._shares.drop(self._route, self._incarnation, self._version)
        if isinstance(answer, PartCommitted):
            self.share = None
            return None
        self.is_uncertain = True
        return UNAVAILABLE

    def mark_left(self, used: int, finished: int) -> None:
        """Mark the row as belonging to a stopping instance, or remove it if it covers no tokens.

        A marked row allows no acceptance and is only counted.
        """
        share = self.share
        if share is None:
            return
        if not used and not finished:
            self._shares.drop(self._route, self._incarnation, self._version)
            return
        left = msgspec.structs.replace(
            share, held=max(share.held, used), used=used, finished=finished, has_left=True
        )
        answer = self._shares.shrink(self._route, self._version, left)
        log.info(
            'tokens.left',
            extra={
                'route': self._route,
                'used': used,
                'finished': finished,
                'written': isinstance(answer, PartCommitted),
            },
        )

    def _overwrite_uncertain(self, share: TokenShare) -> bool:
        """Write a share so that no earlier write of it can take effect any more.

        Earlier writes that would enlarge or restore the share require the previous version of the
        growth row.
        """
        read = self._shares.read_fresh(self._route, [self._incarnation])
        if isinstance(read, PlatformFailure):
            return False
        return isinstance(self.grow(read, share), PartCommitted)

    def _set_confirmed(self, share: TokenShare, version: int) -> None:
        self.share, self._version = share, version
        self.is_uncertain = False
