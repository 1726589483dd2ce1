"""The compiled code of many modules in one file."""

from __future__ import annotations

import marshal
import sys

# The machinery itself; the public modules around it import a good deal more.
from _frozen_importlib import ModuleSpec

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

__all__ = ('BundleFinder', 'open_bundle')

#: Of one module: which root its file lies under, its path below that, whether it is a package,
#: and its code.
Entry = tuple[str, str, bool, bytes]
LIBRARY = 'library'
PACKAGES = 'packages'


class BundleFinder:
    """Finds modules in a bundle.

    The way through the file system takes some ten calls of the system for each module, among
    hundreds of modules; this takes four for all of them.
    """

    def __init__(self, entries: dict[str, Entry], roots: dict[str, str]) -> None:
        """Find what the entries hold.

        :param roots: folders that files of modules lie under, by name.
        """
        self._entries = entries
        self._roots = roots

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Find a module; ``None`` leaves it to the file system."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        root, below, is_package, _ = entry
        file = f'{self._roots[root]}/{below}'
        spec = ModuleSpec(name, self, origin=file, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [file.rpartition('/')[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Leave it to the machinery."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's code, which is not kept."""
        code = self._entries.pop(module.__name__)[3]
        exec(marshal.loads(code), module.__dict__)

    def close(self) -> None:
        """Find nothing any more; modules that are imported later come from their files."""
        sys.meta_path.remove(self)
        self._entries.clear()


def open_bundle(file: str, roots: dict[str, str]) -> BundleFinder | None:
    """Import modules from a bundle; ``None`` where there is none for this interpreter.

    :param roots: folders that files of modules lie under, by name.
    """
    try:
        with open(file, 'rb') as opened:
            version, entries = marshal.loads(opened.read())
    except (OSError, EOFError, ValueError, TypeError):
        # Without it the start takes longer, and nothing else changes.
        return None
    if version != sys.version:
        return None
    finder = BundleFinder(entries, roots)
    sys.meta_path.insert(0, finder)
    return finder
