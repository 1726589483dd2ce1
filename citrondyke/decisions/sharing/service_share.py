"""The batch share of a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.sharing.server_share import ServerShare

if TYPE_CHECKING:
    from citrondyke.ids import RequestId

__all__ = ('ServiceShare', 'service_share')

INITIAL_LIMIT = 4.0
MAX_LIMIT = 64.0
#: A call that takes this multiple of the fastest time indicates that calls wait for each other.
SLOW_RATIO = 2.0
#: The fastest time grows by this factor per call, so that an outdated one is forgotten.
MIN_TIME_DRIFT = 1.001
SLOW_SLACK_MS = 2.0


def service_share() -> ServiceShare:
    """Create the batch share of one server of a plain service."""
    return ServiceShare()


class ServiceShare(ServerShare):
    """Additive-increase, multiplicative-decrease limit of concurrent calls.

    The limit grows by one per round of fast calls and is halved on a slow call.
    """

    def __init__(self) -> None:
        """Initialize the share with a low limit."""
        super().__init__()
        self._limit = INITIAL_LIMIT
        self._fastest_ms = float('inf')

    def fill_limit(self, now_ms: float) -> int:
        """Return the total number of calls up to which batch work may be started."""
        return int(self._limit)

    def batch_preempt_limit(self, now_ms: float) -> int:
        """Return a limit that preempts nothing: a call of a plain service can't be resumed."""
        return self.running_count

    def online_limit(self) -> int:
        """Return the number of online calls that the service serves."""
        return int(MAX_LIMIT)

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Ignore the call; a plain service has no tokens."""

    def on_call_end(self, took_ms: float) -> None:
        """Adapt the limit to the duration of a call."""
        self._fastest_ms = min(self._fastest_ms * MIN_TIME_DRIFT, took_ms)
        if took_ms > self._fastest_ms * SLOW_RATIO + SLOW_SLACK_MS:
            self._limit = max(1.0, self._limit / 2)
            return
        self._limit = min(MAX_LIMIT, self._limit + 1.0 / self._limit)
