"""Writes the compiled code of all modules that the daemon imports to one file at build time."""

from __future__ import annotations

import importlib
import marshal
import os
import sys
from pathlib import Path

from citrondyke.cmd.gateway import BUNDLE_FILE, bundle_roots
from citrondyke.cmd.lean_imports import defer_unused_imports
from citrondyke.util.code_bundle import Entry

__all__ = ('main',)

DAEMON_MODULE = 'citrondyke.cmd.run_gateway'


def main() -> int:
    """Write the bundle next to the package."""
    before = set(sys.modules)
    defer_unused_imports()
    importlib.import_module(DAEMON_MODULE)
    roots = bundle_roots()
    entries = {
        name: entry
        for name in sorted(set(sys.modules) - before | {DAEMON_MODULE})
        if (entry := _entry(name, roots)) is not None
    }
    partial = f'{BUNDLE_FILE}.{os.getpid()}'
    Path(partial).write_bytes(marshal.dumps((sys.version, entries)))
    os.replace(partial, BUNDLE_FILE)
    return 0


def _entry(name: str, roots: dict[str, str]) -> Entry | None:
    """Return the bundle entry of a module; ``None`` if it has no Python code to bundle."""
    module = sys.modules[name]
    if '__getattr__' in vars(module) and not hasattr(module, '__builtins__'):
        # The import is deferred, and the code of the module has not run.
        return None
    spec = getattr(module, '__spec__', None)
    if spec is None or not (spec.origin or '').endswith('.py') or spec.name != name:
        return None
    code = spec.loader.get_code(name)
    is_package = spec.submodule_search_locations is not None
    for root, folder in roots.items():
        if spec.origin.startswith(f'{folder}/'):
            return root, spec.origin[len(folder) + 1 :], is_package, marshal.dumps(code)
    return None


if __name__ == '__main__':
    sys.exit(main())
