"""How long a request waits for an instance that has just started."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('StartupHold',)

#: The store takes some tens of ms where it answers. Where it does not, another instance may know
#: more, and the caller needs most of its time there.
HOLD_MS = 1_000.0
#: Of what the caller will wait.
HOLD_SHARE = 1 / 3
#: A request that waits holds its connection and what came of its body.
HELD_LIMIT = 256
#: Of the time after which a caller who was turned away comes again.
RETRY_MIN_MS, RETRY_MAX_MS = 200.0, 1_500.0
RETRY_SPREAD = 0.5


class StartupHold:
    """Holds the requests that come before the configuration is known.

    The load: all instances were lost, and all callers come again to those that start first. Each
    has one more try; it is lost on an instance that will know the configuration some ms later.
    """

    def __init__(self, context: Context) -> None:
        """Begin at the start of the instance."""
        self._context = context
        self._started_ms = context.now_ms()
        self._held_count = 0

    def begin(self, within_ms: float | None) -> float | None:
        """Hold one more request; give until when, or ``None`` when as many are held as may be.

        :param within_ms: how long its caller will wait.
        """
        if self._held_count >= HELD_LIMIT:
            return None
        self._held_count += 1
        hold_ms = HOLD_MS if within_ms is None else min(HOLD_MS, within_ms * HOLD_SHARE)
        return self._context.now_ms() + hold_ms

    def end(self) -> None:
        """Take note that a request is held no more."""
        self._held_count -= 1

    def retry_in_ms(self) -> float:
        """Tell when a caller who is turned away should come again.

        What has taken a while takes about as long again; the spread keeps callers who were turned
        away together from coming back together.
        """
        passed_ms = self._context.now_ms() - self._started_ms
        expected_ms = min(max(passed_ms, RETRY_MIN_MS), RETRY_MAX_MS)
        return expected_ms * (1.0 + RETRY_SPREAD * self._context.random.random())
