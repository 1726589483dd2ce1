"""Exit codes of ``citrondykectl``."""

from __future__ import annotations

from enum import Enum

__all__ = ('ExitCode',)


class ExitCode(Enum):
    """One code for each kind of failure; scripts rely on the values."""

    DONE = 0
    FAILED = 1
    WRONG_CALL = 2
    CONFLICT = 3
    NOT_FOUND = 4
    NOT_ALLOWED = 5
    #: Not reachable or not ready; the same call may succeed later.
    UNAVAILABLE = 6
