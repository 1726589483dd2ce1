"""The share of a route's bound that this incarnation of this instance holds, and its row."""

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
    """Believes no more than what is durable for certain.

    A write whose reply is lost leaves it open which of two sizes the row holds. The smaller is
    believed, as others may have filled the rest, and the next look writes again.
    """

    def __init__(self, route: RouteName, incarnation: str, shares: TokenShares) -> None:
        """Hold nothing yet.

        :param incarnation: names this incarnation of this instance.
        """
        self._route = route
        self._incarnation = incarnation
        self._shares = shares
        #: ``None`` where there is no row for certain, or none is known.
        self.share: TokenShare | None = None
        self._version = 0
        #: Whether the row may differ from the share.
        self.is_uncertain = False

    def is_certain_at_version(self, config_version: ConfigVersion) -> bool:
        """Tell whether the row certainly is a share that was given under a configuration."""
        share = self.share
        return (
            share is not None and not self.is_uncertain and share.config_version == config_version
        )

    def allows(self, config_version: ConfigVersion, used: int) -> bool:
        """Tell whether so much may be used without asking anybody."""
        share = self.share
        return share is not None and share.config_version == config_version and used <= share.held

    def apply_read(self, read: SharesRead) -> None:
        """Take in a write whose reply was lost."""
        share, version = read.shares.get(self._incarnation), read.versions.get(self._incarnation, 0)
        if share is not None and version > self._version:
            self._set_confirmed(share, version)

    def grow(
        self, read: SharesRead, share: TokenShare
    ) -> PartCommitted | PartConflict | PlatformFailure:
        """Write a larger share, if nobody's grew since the read."""
        answer = self._shares.grow(self._route, read, share)
        if isinstance(answer, PartCommitted):
            self._set_confirmed(share, answer.version)
        elif isinstance(answer, PlatformFailure):
            # Done without a reply, it would keep the room from the others for good.
            self.is_uncertain = True
        return answer

    def write(self, read: SharesRead, share: TokenShare) -> None:
        """Bring the row to a share, by what was read of the others'."""
        before = self.share
        # Until the answer is there, and for good where none comes.
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
        # The next look tries again. At once would be in vain where reads are seconds old: each
        # instance would read and write as fast as the store answers until they are not.
        reason = 'conflict' if isinstance(answer, PartConflict) else answer.reason.value
        log.info(
            'tokens.share_not_written',
            extra={'route': self._route, 'used': share.used, 'reason': reason},
        )

    def withdraw(self, replacement: TokenShare) -> PlatformFailure | None:
        """Take the row away.

        :param replacement: written first where it is in doubt which row there is.
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
        """Mark the row as one that only counts, or take it away where there is nothing to count."""
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
        """Write a share so that no earlier write of it can come any more.

        Those that would make it grow, or bring it back, need the turn as it was before.
        """
        read = self._shares.read_fresh(self._route, [self._incarnation])
        if isinstance(read, PlatformFailure):
            return False
        return isinstance(self.grow(read, share), PartCommitted)

    def _set_confirmed(self, share: TokenShare, version: int) -> None:
        self.share, self._version = share, version
        self.is_uncertain = False
