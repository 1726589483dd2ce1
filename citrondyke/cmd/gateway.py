"""The gateway's daemon: one instance on the users' platform.

It listens before it imports its parts, so that callers who come meanwhile wait for it.
"""

from __future__ import annotations

import os
import sys

# First of all: the other imports take longer than what follows.
from citrondyke.util.process_start import PROCESS_BEGAN_MS  # isort: skip
from citrondyke.platform.early_addresses import early_addresses
from citrondyke.util.early_sockets import EarlySockets
from citrondyke.util.start_steps import StartSteps

__all__ = ('main',)


def main() -> int:
    """Run one instance until SIGTERM."""
    steps = StartSteps()
    sockets = EarlySockets(early_addresses(os.environ))
    steps.note('listening')
    import signal

    # By default it would end the process. The settings are read later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from citrondyke.cmd.run_gateway import run_gateway

    steps.note('imported')
    return run_gateway(sockets, steps, PROCESS_BEGAN_MS)


if __name__ == '__main__':
    sys.exit(main())
