"""The share of batch work on a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.sharing.server_share import ServerShare

if TYPE_CHECKING:
    from citrondyke.ids import RequestId

__all__ = ('ServiceShare', 'service_share')

INITIAL_LIMIT = 4.0
MAX_LIMIT = 64.0
#: A call that takes so many times the fastest seen means that calls wait for each other.
SLOW_RATIO = 2.0
#: The fastest time is let rise by this factor a call, so that an old one is forgotten.
MIN_TIME_DRIFT = 1.001
SLOW_SLACK_MS = 2.0


def service_share() -> ServiceShare:
    """Make the share of one plain service's server."""
    return ServiceShare()


class ServiceShare(ServerShare):
    """Adds a call while calls are fast and halves at once when they get slow."""

    def __init__(self) -> None:
        """Start careful."""
        super().__init__()
        self._limit = INITIAL_LIMIT
        self._fastest_ms = float('inf')

    def fill_limit(self, now_ms: float) -> int:
        """Give how many calls in all batch work may fill the service up to."""
        return int(self._limit)

    def batch_preempt_limit(self, now_ms: float) -> int:
        """Cut nothing: a call of a plain service cannot be resumed."""
        return self.running_count

    def online_limit(self) -> int:
        """Give how many online calls the service bears."""
        return int(MAX_LIMIT)

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn nothing: a plain service has no tokens."""

    def on_call_end(self, took_ms: float) -> None:
        """Learn from how long a call took."""
        self._fastest_ms = min(self._fastest_ms * MIN_TIME_DRIFT, took_ms)
        if took_ms > self._fastest_ms * SLOW_RATIO + SLOW_SLACK_MS:
            self._limit = max(1.0, self._limit / 2)
            return
        self._limit = min(MAX_LIMIT, self._limit + 1.0 / self._limit)
