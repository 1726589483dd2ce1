"""What may pass an account's limit, and what of it is used for what."""

from __future__ import annotations

import msgspec

__all__ = ('ADVANCE_GRANT_MS', 'GRANT_MS', 'OvershootBudget')

#: Parts of what may pass a limit. A third lets callers through whose requests come unevenly; three
#: fifths go to three keepers that stand in for a steward that is gone; the rest is left alone.
BUCKET_DEPTH_SHARE = 0.3
FALLBACK_DEPTH_SHARE = 0.15
FALLBACK_REFILL_SHARE = 0.05
FALLBACK_INITIAL_SHARE = 0.1
#: Part of the rate's overshoot in a window that each of them may let through.
FALLBACK_RATE_SHARE = 0.2
#: An account may have so much of its rate ahead of time, where the window has room: at a quarter
#: above its rate it has had its window's uses by then. Who follows a steward without knowing what
#: it let through holds the account back for so long, about the time that a lease takes.
ADVANCE_GRANT_MS = 1_000.0
#: A grant is used within this time, or asked for anew: one that lay in a machine which stood still
#: would fall into another window.
GRANT_MS = 250.0


class OvershootBudget(msgspec.Struct, frozen=True, kw_only=True):
    """In any window there may be (rate x window + burst) x (1 + overshoot) + slack uses."""

    window_ms: float = 5_000.0
    overshoot: float = 0.0
    slack: float = 0.0

    def depth(self, rate_per_s: float, burst: float) -> float:
        """Give a steward's bucket."""
        spare = self.slack + rate_per_s * self.window_ms / 1e3 * self.overshoot
        return burst * (1 + self.overshoot) + spare * BUCKET_DEPTH_SHARE

    def advance_grant_limit(self, rate_per_s: float, burst: float) -> float:
        """Give what an account is promised in any window; uses ahead of time stay within it.

        What may pass it is needed for requests that are sent a second time.
        """
        return rate_per_s * self.window_ms / 1e3 + burst

    def fallback_depth(self, rate_per_s: float) -> float:
        """Give the bucket of a keeper that stands in."""
        return self.slack * FALLBACK_DEPTH_SHARE + self._fallback_rate_uses(rate_per_s)

    def fallback_initial(self, rate_per_s: float) -> float:
        """Give what a life begins with: after a loss of all, accounts go on without a steward."""
        return self.slack * FALLBACK_INITIAL_SHARE + self._fallback_rate_uses(rate_per_s)

    @property
    def fallback_rate_per_s(self) -> float:
        """Give how fast the bucket of a keeper that stands in fills."""
        return self.slack * FALLBACK_REFILL_SHARE / self.window_ms * 1e3

    def _fallback_rate_uses(self, rate_per_s: float) -> float:
        return rate_per_s * self.window_ms / 1e3 * self.overshoot * FALLBACK_RATE_SHARE
