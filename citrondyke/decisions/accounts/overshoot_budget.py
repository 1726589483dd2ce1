"""The permitted excess over an account's limit, and how it is divided."""

from __future__ import annotations

import msgspec

__all__ = ('ADVANCE_GRANT_MS', 'GRANT_MS', 'OvershootBudget')

#: Shares of the permitted excess. About a third (0.3) deepens the steward's bucket for callers
#: whose requests arrive unevenly. Three fifths are the fallback allowances of the three replicas
#: for the time without a steward. The rest stays unused.
BUCKET_DEPTH_SHARE = 0.3
FALLBACK_DEPTH_SHARE = 0.15
FALLBACK_REFILL_SHARE = 0.05
FALLBACK_INITIAL_SHARE = 0.1
#: Share of a window's overshoot that the fallback allowance of each replica adds.
FALLBACK_RATE_SHARE = 0.2
#: Advance grants are limited to the uses of this time at the account's rate, and to the free part
#: of the window. At 1.25 times its rate an account reaches its window's uses by then. A successor
#: that doesn't know the advance grants of the previous steward holds the account back for this
#: time, which is about as long as acquiring a lease takes.
ADVANCE_GRANT_MS = 1_000.0
#: A grant that isn't used within this time is requested again. If the machine was suspended
#: meanwhile, the use would fall into another window than the one in which it was counted.
GRANT_MS = 250.0


class OvershootBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Limit of (rate x window + burst) x (1 + overshoot) + slack uses in any window."""

    window_ms: float = 5_000.0
    overshoot: float = 0.0
    slack: float = 0.0

    def depth(self, rate_per_s: float, burst: float) -> float:
        """Return the depth of a steward's token bucket.

        One of less than a whole use would reject its account for good. Its account gets the rest of
        the excess for that: the fallback allowances are less than one use then, and grant nothing.
        """
        excess = self.slack + rate_per_s * self.window_ms / 1e3 * self.overshoot
        allowed = burst * (1 + self.overshoot)
        return max(allowed + excess * BUCKET_DEPTH_SHARE, min(1.0, allowed + excess))

    def advance_grant_limit(self, rate_per_s: float, burst: float) -> float:
        """Return the guaranteed uses of an account per window, which bound advance grants.

        The excess over this limit is left for requests that are sent a second time.
        """
        return rate_per_s * self.window_ms / 1e3 + burst

    def window_limit(self, rate_per_s: float, burst: float) -> float:
        """Return the largest number of uses in any window."""
        uses = self.advance_grant_limit(rate_per_s, burst)
        return uses * (1 + self.overshoot) + self.slack

    def fallback_depth(self, rate_per_s: float) -> float:
        """Return the bucket depth of a replica's fallback allowance."""
        return self.slack * FALLBACK_DEPTH_SHARE + self._fallback_rate_uses(rate_per_s)

    def fallback_initial(self, rate_per_s: float) -> float:
        """Return the fallback allowance at the start of an incarnation.

        It serves accounts after a crash of all instances, until there is a steward again.
        """
        return self.slack * FALLBACK_INITIAL_SHARE + self._fallback_rate_uses(rate_per_s)

    @property
    def fallback_rate_per_s(self) -> float:
        """Refill rate of a replica's fallback allowance."""
        return self.slack * FALLBACK_REFILL_SHARE / self.window_ms * 1e3

    def _fallback_rate_uses(self, rate_per_s: float) -> float:
        return rate_per_s * self.window_ms / 1e3 * self.overshoot * FALLBACK_RATE_SHARE
