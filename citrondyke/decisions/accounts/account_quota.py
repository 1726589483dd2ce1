"""What a steward lets one account have in one lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.accounts.overshoot_budget import ADVANCE_GRANT_MS, GRANT_MS
from citrondyke.decisions.accounts.slot_lease import LEASE_MS
from citrondyke.decisions.accounts.use_window_counter import UseWindowCounter
from citrondyke.decisions.reservations.rejected_work import RejectedWork
from citrondyke.decisions.reservations.reservations import Reservations

if TYPE_CHECKING:
    from citrondyke.decisions.accounts.account import Account
    from citrondyke.decisions.accounts.bucket import TokenBucket
    from citrondyke.decisions.accounts.slot_lease import LEASE_MS
from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget

__all__ = ('ADVANCE_RATE_FACTOR', 'AccountQuota')

#: Places due before a moment push it back by their number; a few looks settle it.
MAX_SCANS = 4
#: Uses a second ahead of time, by the rate: a whole window's within the window, and no more at once
#: than servers bear that are planned for the rates.
ADVANCE_RATE_FACTOR = 1.25


class AccountQuota:
    """Counts an account's window; the uses that nobody counted here are bounded by the level.

    Ahead of time an account gets a little more than its rate, not all at once: a whole window's
    uses in a second would fill the servers, and leave nothing until the window is over.
    """

    def __init__(self, budget: OvershootBudget, bucket: TokenBucket, since_ms: float) -> None:
        """Begin with a lease.

        :param since_ms: since when the ring knows all uses.
        """
        self._budget = budget
        self._bucket = bucket
        self._since_ms = since_ms
        self._ring = UseWindowCounter(budget.window_ms + GRANT_MS)
        self._rejected = UseWindowCounter(budget.window_ms)
        #: The highest depth in this lease; by it keepers know the floor of an account not named.
        self.max_depth = 0.0
        self.reservations = Reservations()
        self.rejected_work = RejectedWork()
        self._next_ahead_ms = float('-inf')
        #: Until when some instance refuses without asking; it does not know of later places.
        self.local_rejection_until_ms = float('-inf')

    def remaining(self, account: Account, now_ms: float) -> float:
        """Give what is left before the account has had all of its burst."""
        depth = self._budget.depth(account.rate_per_s, account.burst)
        self.max_depth = max(self.max_depth, depth)
        level = self._bucket.remaining(account.rate_per_s, depth, now_ms)
        # A limit that was lowered would hold back for longer than what it was lowered to.
        lowest = -account.rate_per_s * (ADVANCE_GRANT_MS + LEASE_MS) / 1e3
        if level < lowest:
            self._bucket.add(lowest - level)
        return max(level, lowest)

    def add_remaining(self, count: float) -> None:
        """Take in that the account had more left."""
        self._bucket.add(count)

    def has_counted_full_window(self, now_ms: float) -> bool:
        """Tell whether all uses of the window were counted here."""
        return now_ms >= self._since_ms + self._budget.window_ms + GRANT_MS

    def free_at_ms(
        self, account: Account, now_ms: float, *, may_advance: bool, is_reserved: bool
    ) -> float:
        """Give when the next use may begin.

        :param is_reserved: whether it is one for which a place is kept; others wait for the places
            that fall due before them.
        """
        if is_reserved:
            return self._free_after(account, now_ms, 0, 0, may_advance=may_advance)
        kept = len(self.reservations)
        at_ms = self._free_after(account, now_ms, 0, kept, may_advance=may_advance)
        if at_ms < self._next_ahead_ms and self.remaining(account, now_ms) < 1.0:
            at_ms = self._next_ahead_ms
        for _ in range(MAX_SCANS):
            ahead = self.reservations.count_due(at_ms)
            later_ms = self._free_after(account, now_ms, ahead, kept, may_advance=may_advance)
            if later_ms <= at_ms:
                break
            at_ms = later_ms
        return at_ms

    def consume(self, account: Account, at_ms: float, now_ms: float) -> None:
        """Count a use that begins at a moment."""
        if self.remaining(account, now_ms) < 1.0:
            gap_ms = 1e3 / (ADVANCE_RATE_FACTOR * account.rate_per_s)
            self._next_ahead_ms = max(self._next_ahead_ms, at_ms) + gap_ms
        self._bucket.add(-1.0)
        self._ring.record(at_ms)

    def record_rejected(self, now_ms: float) -> None:
        """Count a refusal."""
        self._rejected.record(now_ms)

    def window_uses_count(self, now_ms: float) -> int:
        """Give how many uses there were in the last window."""
        return self._ring.count(now_ms)

    def rejected_count(self, now_ms: float) -> int:
        """Give how many refusals there were in the last window."""
        return self._rejected.count(now_ms)

    def _free_after(
        self, account: Account, now_ms: float, ahead: int, kept: int, *, may_advance: bool
    ) -> float:
        """Give when the next use may begin.

        :param ahead: places that fall due before it.
        :param kept: all places; the window must have room left for them.
        """
        rate_per_s = account.rate_per_s
        level = self.remaining(account, now_ms) - ahead
        by_level_ms = now_ms + max(0.0, 1.0 - level) / rate_per_s * 1e3
        if level >= 1.0 or not may_advance or not self.has_counted_full_window(now_ms):
            return by_level_ms
        lowest = 1.0 - rate_per_s * ADVANCE_GRANT_MS / 1e3
        ahead_ms = now_ms + max(0.0, lowest - level) / rate_per_s * 1e3
        allowed = self._budget.advance_grant_limit(rate_per_s, account.burst)
        room_ms = self._ring.fits_at_ms(now_ms, allowed, kept + 1)
        return min(by_level_ms, max(ahead_ms, room_ms))
