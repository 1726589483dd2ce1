"""The quota of one account during one lease of its steward."""

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

#: Each reservation that falls due before the start of a use delays it further, which may bring more
#: reservations before it. The start converges within a few scans.
MAX_SCANS = 4
#: Rate of advance grants as a multiple of the account's rate. An account reaches the uses of a
#: whole window within that window, and servers that are sized for the rates aren't overloaded.
ADVANCE_RATE_FACTOR = 1.25


class AccountQuota:
    """Tracks the remaining quota, window counts and reservations of an account.

    Uses that this steward hasn't counted are bounded by the remaining quota. Advance grants are
    spread over time at slightly more than the account's rate: a whole window's uses within a second
    would fill the servers and leave no quota until the window ends.
    """

    def __init__(self, budget: OvershootBudget, bucket: TokenBucket, since_ms: float) -> None:
        """Initialize the quota at the start of a lease.

        :param since_ms: time since which this steward has counted all uses.
        """
        self._budget = budget
        self._bucket = bucket
        self._since_ms = since_ms
        self._window_uses = UseWindowCounter(budget.window_ms + GRANT_MS)
        self._window_rejections = UseWindowCounter(budget.window_ms)
        #: Largest bucket depth in this lease. Replicas derive the floor of unnamed accounts from
        #: it.
        self.max_depth = 0.0
        self.reservations = Reservations()
        self.rejected_work = RejectedWork()
        self._next_advance_ms = float('-inf')
        #: Time until which some instance rejects the account's requests locally. That instance
        #: doesn't know of reservations made after its last query.
        self.local_rejection_until_ms = float('-inf')

    def remaining(self, account: Account, now_ms: float) -> float:
        """Return the uses left before the burst is used up; may be negative."""
        depth = self._budget.depth(account.rate_per_s, account.burst)
        self.max_depth = max(self.max_depth, depth)
        remaining = self._bucket.remaining(account.rate_per_s, depth, now_ms)
        # After a limit was lowered, a debt from the old limit would block the account for longer
        # than the new limit requires.
        min_remaining = -account.rate_per_s * (ADVANCE_GRANT_MS + LEASE_MS) / 1e3
        if remaining < min_remaining:
            self._bucket.add(min_remaining - remaining)
        return max(remaining, min_remaining)

    def credit(self, count: float) -> None:
        """Add uses to the remaining quota; ``count`` may be negative."""
        self._bucket.add(count)

    def has_counted_full_window(self, now_ms: float) -> bool:
        """Return whether this steward has counted all uses of the last window."""
        return now_ms >= self._since_ms + self._budget.window_ms + GRANT_MS

    def free_at_ms(
        self, account: Account, now_ms: float, *, may_advance: bool, is_reserved: bool
    ) -> float:
        """Return when the next use may begin.

        :param may_advance: whether the use may be granted before the rate allows it.
        :param is_reserved: whether the use has a reservation. A use without one waits for the
            reservations that fall due before it.
        """
        if is_reserved:
            return self._free_after(account, now_ms, 0, 0, may_advance=may_advance)
        reserved_count = len(self.reservations)
        at_ms = self._free_after(account, now_ms, 0, reserved_count, may_advance=may_advance)
        if at_ms < self._next_advance_ms and self.remaining(account, now_ms) < 1.0:
            at_ms = self._next_advance_ms
        for _ in range(MAX_SCANS):
            reserved_before = self.reservations.count_due(at_ms)
            later_ms = self._free_after(
                account, now_ms, reserved_before, reserved_count, may_advance=may_advance
            )
            if later_ms <= at_ms:
                break
            at_ms = later_ms
        return at_ms

    def consume(self, account: Account, at_ms: float, now_ms: float) -> None:
        """Count a use that begins at ``at_ms``."""
        if self.remaining(account, now_ms) < 1.0:
            gap_ms = 1e3 / (ADVANCE_RATE_FACTOR * account.rate_per_s)
            self._next_advance_ms = max(self._next_advance_ms, at_ms) + gap_ms
        self._bucket.add(-1.0)
        self._window_uses.record(at_ms)

    def record_rejected(self, now_ms: float) -> None:
        """Count a rejected request."""
        self._window_rejections.record(now_ms)

    def window_uses_count(self, now_ms: float) -> int:
        """Return the number of uses in the last window."""
        return self._window_uses.count(now_ms)

    def rejected_count(self, now_ms: float) -> int:
        """Return the number of rejected requests in the last window."""
        return self._window_rejections.count(now_ms)

    def _free_after(
        self,
        account: Account,
        now_ms: float,
        reserved_before: int,
        reserved_count: int,
        *,
        may_advance: bool,
    ) -> float:
        """Return when the next use may begin.

        :param reserved_before: number of reservations that fall due before the use.
        :param reserved_count: number of all reservations; the window must have room for them.
        """
        rate_per_s = account.rate_per_s
        remaining = self.remaining(account, now_ms) - reserved_before
        refill_ms = now_ms + max(0.0, 1.0 - remaining) / rate_per_s * 1e3
        limit = self._budget.window_limit(rate_per_s, account.burst)
        # A limit of less than one use leaves no time to state.
        if limit >= 1.0 and self.has_counted_full_window(now_ms):
            # Advance grants and a full bucket together could exceed a limit of a few uses.
            refill_ms = max(refill_ms, self._window_uses.fits_at_ms(now_ms, limit, 1))
        if remaining >= 1.0 or not may_advance or not self.has_counted_full_window(now_ms):
            return refill_ms
        min_remaining = 1.0 - rate_per_s * ADVANCE_GRANT_MS / 1e3
        advance_ms = now_ms + max(0.0, min_remaining - remaining) / rate_per_s * 1e3
        allowed = self._budget.advance_grant_limit(rate_per_s, account.burst)
        window_free_ms = self._window_uses.fits_at_ms(now_ms, allowed, reserved_count + 1)
        return min(refill_ms, max(advance_ms, window_free_ms))
