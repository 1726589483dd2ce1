"""A bucket out of which others' uses are taken late."""

from __future__ import annotations

from citrondyke.decisions.accounts.bucket import TokenBucket

__all__ = ('DrainedBucket',)


class DrainedBucket(TokenBucket):
    """Holds one instance's view of what an account has left."""

    def drain(self, count: int) -> None:
        """Take out what was used elsewhere; below nothing it fills up first."""
        self.add(-count)

    def wait_ms(self, rate_per_s: float) -> float:
        """Give the time until there is room for one, as of the last ``try_consume``."""
        return max(0.0, 1.0 - self._remaining) / rate_per_s * 1e3
