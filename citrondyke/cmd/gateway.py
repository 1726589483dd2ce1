"""Entry point of the gateway daemon, which runs one instance on the platform.

It listens before it imports most of its modules, so that callers that connect during the imports
wait instead of being refused.
"""

from __future__ import annotations

import os
import sys

# The C extension is imported directly: importing the ``signal`` module that wraps it takes longer
# than opening the listening sockets.
from _signal import SIG_IGN, SIGHUP, signal  # type: ignore[import-not-found]

# Imported before the other modules, because it records the start of the process and importing them
# takes longer than the steps that follow.
from citrondyke.util.process_start import PROCESS_START_MS  # isort: skip
from citrondyke.platform.early_addresses import early_addresses
from citrondyke.util.code_bundle import LIBRARY, PACKAGES, open_bundle
from citrondyke.util.early_sockets import EarlySockets
from citrondyke.util.start_steps import StartSteps

__all__ = ('BUNDLE_FILE', 'bundle_roots', 'main')

_PACKAGE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
#: Created by the build next to the package.
BUNDLE_FILE = f'{_PACKAGE}.bundle'


def main() -> int:
    """Run one instance until SIGTERM."""
    steps = StartSteps()
    # The default action would end the process. No reload is lost, as the settings are read later.
    signal(SIGHUP, SIG_IGN)
    sockets = EarlySockets(early_addresses(os.environ))
    steps.record('listening')
    bundle = open_bundle(BUNDLE_FILE, bundle_roots())
    import gc

    # Imported modules stay in memory, so garbage collection during the imports only costs time.
    gc.disable()
    from citrondyke.cmd.lean_imports import defer_unused_imports

    defer_unused_imports()
    from citrondyke.cmd.run_gateway import run_gateway

    if bundle is not None:
        bundle.close()
    gc.freeze()
    gc.enable()
    steps.record('imported')
    return run_gateway(sockets, steps, PROCESS_START_MS)


def bundle_roots() -> dict[str, str]:
    """Return the root folders of bundled modules.

    These are the folder of the package and its libraries, and that of the standard library.
    """
    return {PACKAGES: os.path.dirname(_PACKAGE), LIBRARY: os.path.dirname(os.__file__)}


if __name__ == '__main__':
    sys.exit(main())
