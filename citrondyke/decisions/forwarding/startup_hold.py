"""Hold requests for an instance that has just started."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('StartupHold',)

#: The store answers within some tens of ms. If it does not, another instance may know the
#: configuration, and the caller needs most of its time there.
HOLD_MS = 1_000.0
#: Part of the caller's remaining time.
HOLD_SHARE = 1 / 3
#: A held request occupies its connection and the received part of its body.
HELD_LIMIT = 256
#: Bounds of the time after which a rejected caller retries.
MIN_RETRY_MS, MAX_RETRY_MS = 200.0, 1_500.0
RETRY_SPREAD = 0.5


class StartupHold:
    """Hold requests that arrive before the configuration is known.

    Handles the loss of all instances: every caller reconnects to the first instances that start,
    with one retry left, which would be lost on an instance that knows the configuration a few ms
    later.
    """

    def __init__(self, context: Context) -> None:
        """Start at the start of the instance."""
        self._context = context
        self._started_ms = context.now_ms()
        self._held_count = 0

    def begin(self, within_ms: float | None) -> float | None:
        """Hold one more request and return until when; ``None`` if the limit is reached.

        :param within_ms: how long its caller waits.
        """
        if self._held_count >= HELD_LIMIT:
            return None
        self._held_count += 1
        hold_ms = HOLD_MS if within_ms is None else min(HOLD_MS, within_ms * HOLD_SHARE)
        return self._context.now_ms() + hold_ms

    def end(self) -> None:
        """Record that a request is no longer held."""
        self._held_count -= 1

    def retry_in_ms(self) -> float:
        """Return when a rejected caller should retry.

        A start that has taken some time is expected to take about as long again. The spread keeps
        callers that were rejected together from returning together.
        """
        elapsed_ms = self._context.now_ms() - self._started_ms
        expected_ms = min(max(elapsed_ms, MIN_RETRY_MS), MAX_RETRY_MS)
        return expected_ms * (1.0 + RETRY_SPREAD * self._context.random.random())
