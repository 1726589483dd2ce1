"""Start time of this process, as early as it can be determined.

Leases and promises of the previous incarnation expire within a time after its exit, which was
before this start.
"""

from __future__ import annotations

import time

__all__ = ('PROCESS_START_MS',)

#: Time by the clock that advances while the machine is suspended.
PROCESS_START_MS = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
