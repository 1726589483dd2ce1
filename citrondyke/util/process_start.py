"""When this process began, as far as it can tell.

What the life before this one has promised ends a while after its end, which was before now.
"""

from __future__ import annotations

import time

__all__ = ('PROCESS_START_MS',)

#: By the clock that goes on while the machine is suspended.
PROCESS_START_MS = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3
