"""Exponential backoff for retries of store calls."""

from __future__ import annotations

__all__ = ('backoff_ms',)

#: The first pause is shorter than any caller's timeout. The longest is a fraction of the 2 s within
#: which all instances must know what changed during an outage. With 150 ms throughout, an instance
#: that the store rejects would call it 25 times a second.
FIRST_PAUSE_MS = 150.0
FACTOR = 1.6
MAX_PAUSE_MS = 600.0


def backoff_ms(failures_count: int) -> float:
    """Return the pause after a number of consecutive failures, at least one."""
    return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * FACTOR ** min(10, failures_count - 1))
