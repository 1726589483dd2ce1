"""The gateway's daemon: one instance on the users' platform.

It listens before it imports its parts, so that callers who come meanwhile wait for it.
"""

from __future__ import annotations

import os
import sys

# The extension itself, as the module ``signal`` around it takes longer than to listen.
from _signal import SIG_IGN, SIGHUP, signal  # type: ignore[import-not-found]

# First of all: the other imports take longer than what follows.
from citrondyke.util.process_start import PROCESS_START_MS  # isort: skip
from citrondyke.platform.early_addresses import early_addresses
from citrondyke.util.code_bundle import LIBRARY, PACKAGES, open_bundle
from citrondyke.util.early_sockets import EarlySockets
from citrondyke.util.start_steps import StartSteps

__all__ = ('BUNDLE_FILE', 'bundle_roots', 'main')

_PACKAGE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
#: Made by the build, beside the package.
BUNDLE_FILE = f'{_PACKAGE}.bundle'


def main() -> int:
    """Run one instance until SIGTERM."""
    steps = StartSteps()
    # By default it would end the process. The settings are read later anyway.
    signal(SIGHUP, SIG_IGN)
    sockets = EarlySockets(early_addresses(os.environ))
    steps.record('listening')
    bundle = open_bundle(BUNDLE_FILE, bundle_roots())
    import gc

    # What is imported stays: looking for garbage among it only takes time.
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
    """Give the folders of the modules in a bundle: the package and its libraries, and Python's."""
    return {PACKAGES: os.path.dirname(_PACKAGE), LIBRARY: os.path.dirname(os.__file__)}


if __name__ == '__main__':
    sys.exit(main())
