"""Pauses between tries of the store."""

from __future__ import annotations

__all__ = ('backoff_ms',)

#: The first pause is shorter than anybody waits for; the longest is a fraction of the 2 s within
#: which all must know what changed in an outage. With 150 ms throughout, an instance that the
#: store refuses calls it 25 times a second.
FIRST_PAUSE_MS = 150.0
FACTOR = 1.6
MAX_PAUSE_MS = 600.0


def backoff_ms(failures_count: int) -> float:
    """Give the pause after so many failures in a row, one at least."""
    return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * FACTOR ** min(10, failures_count - 1))
