"""Imports modules from one file with the compiled code of many."""

from __future__ import annotations

import marshal
import sys

# The internal module: the public modules around it import many more.
from _frozen_importlib import ModuleSpec

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

__all__ = ('BundleFinder', 'open_bundle')

#: Entry of a module: name of the root folder, path of its file below that, whether it is a
#: package, and its marshalled code.
Entry = tuple[str, str, bool, bytes]
LIBRARY = 'library'
PACKAGES = 'packages'


class BundleFinder:
    """Finds modules in a bundle.

    A search in the file system takes about ten system calls for each of hundreds of modules;
    the bundle takes four for all of them.
    """

    def __init__(self, entries: dict[str, Entry], roots: dict[str, str]) -> None:
        """Create a finder of the modules in ``entries``.

        :param roots: root folders of module files, by name.
        """
        self._entries = entries
        self._roots = roots

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module; ``None`` to have it searched in the file system."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        root, relative_path, is_package, _ = entry
        file = f'{self._roots[root]}/{relative_path}'
        spec = ModuleSpec(name, self, origin=file, is_package=is_package)  # type: ignore[arg-type]
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [file.rpartition('/')[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Use the default creation of modules."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module and discard it."""
        code = self._entries.pop(module.__name__)[3]
        exec(marshal.loads(code), module.__dict__)

    def close(self) -> None:
        """Remove the finder; later imports read the files of modules."""
        sys.meta_path.remove(self)
        self._entries.clear()


def open_bundle(file: str, roots: dict[str, str]) -> BundleFinder | None:
    """Import modules from a bundle; return ``None`` if there is none for this interpreter.

    :param roots: root folders of module files, by name.
    """
    try:
        with open(file, 'rb') as stream:
            version, entries = marshal.loads(stream.read())
    except (OSError, EOFError, ValueError, TypeError):
        # Without a bundle only the start takes longer.
        return None
    if version != sys.version:
        return None
    finder = BundleFinder(entries, roots)
    sys.meta_path.insert(0, finder)
    return finder
