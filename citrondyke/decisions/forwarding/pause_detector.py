"""Detects that the process, or its machine, has stood still."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context

__all__ = ('PauseDetector',)

#: Time between two observations from which on the process has stood still. An instance in step has
#: a server list of up to 1.2 s; with a shorter pause it is still within the 2 s for which a
#: draining server may get requests.
PAUSE_MS = 750.0


class PauseDetector:
    """Observes the clock often: a process that was stopped finds a gap between two observations.

    The first code that runs after a pause may serve a request, before any timer fires, so whatever
    acts on replicated state observes the clock first.
    """

    def __init__(self, context: Context) -> None:
        """Start without a pause; the first observation begins."""
        self._context = context
        self._observed_ms: float | None = None
        #: When the last pause ended; nothing that was received before tells the current state.
        self.resumed_ms = float('-inf')
        self._on_pause: Callable[[float], None] | None = None

    def on_pause(self, notify: Callable[[float], None]) -> None:
        """Set the callback for each pause, which gets its length in ms."""
        self._on_pause = notify

    def observe(self) -> None:
        """Observe the clock; call this at intervals that are short compared to ``PAUSE_MS``."""
        now_ms = self._context.clock.fence_ms()
        gap_ms = 0.0 if self._observed_ms is None else now_ms - self._observed_ms
        self._observed_ms = now_ms
        if gap_ms < PAUSE_MS:
            return
        self.resumed_ms = now_ms
        if self._on_pause is not None:
            self._on_pause(gap_ms)
