"""Limits how many servers the probes of one owner's items can cost."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('ItemProbeGate',)

#: Pause after a probe under which its server broke off, doubled for each further one in a row.
FAILED_PAUSE_MS = 500.0
#: Servers restart within seconds: one owner keeps about one of them away at a time.
MAX_FAILED_PAUSE_MS = 3_000.0


class ItemProbeGate:
    """Admits the probes of an owner's items, one at a time.

    Each item has pauses of its own. Many items that crash their servers, each probed at its own
    time, would still take servers away faster than these restart.
    """

    def __init__(self, context: Context) -> None:
        """Start without a probe."""
        self._context = context
        self._probing: object = None
        self._failed_count = 0
        self._not_before_ms = 0.0

    def try_start(self, run: object) -> bool:
        """Admit the probe of a run; it must be ended by one of the other methods."""
        if self._probing is not None or self._context.now_ms() < self._not_before_ms:
            return False
        self._probing = run
        return True

    def record_answered(self, run: object) -> None:
        """Record that the server of a run answers; others may be probed without a pause."""
        if self._probing is run:
            self._probing = None
            self._failed_count = 0

    def record_failed(self, run: object) -> None:
        """Record that the server of a run broke off, and pause."""
        if self._probing is run:
            self._probing = None
            pause_ms = min(
                MAX_FAILED_PAUSE_MS, FAILED_PAUSE_MS * 2.0 ** min(10, self._failed_count)
            )
            self._failed_count += 1
            self._not_before_ms = self._context.now_ms() + pause_ms

    def end(self, run: object) -> None:
        """End the probe of a run that shows nothing, if it has not ended yet."""
        if self._probing is run:
            self._probing = None
