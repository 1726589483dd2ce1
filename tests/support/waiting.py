"""Waits for what must come true, with no claim on how soon."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

__all__ = ('wait_until',)

T = TypeVar('T')

LONGEST_S = 60.0
PAUSE_S = 0.05


def wait_until(look: Callable[[], T | None], what: str, longest_s: float = LONGEST_S) -> T:
    """Look until there is something to see.

    The limit only ends a test that would hang; no test says how fast anything is.
    """
    until = time.monotonic() + longest_s
    while True:
        found = look()
        if found:
            return found
        if time.monotonic() > until:
            raise AssertionError(f'waited in vain for: {what}')
        time.sleep(PAUSE_S)
