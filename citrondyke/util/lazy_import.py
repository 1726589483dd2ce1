"""Imports that run a module's code at its first use only."""

from __future__ import annotations

import sys
from _frozen_importlib_external import PathFinder
from types import ModuleType

__all__ = ('defer_import',)


def defer_import(name: str, parts: tuple[str, ...] = ()) -> None:
    """Defer running a module's code from its import to the first use of a name in it.

    This saves time for modules that a library imports but this program never uses.

    :param parts: submodules whose names are available without running the package's code.
    """
    if name in sys.modules:
        return
    spec = PathFinder.find_spec(name)
    if spec is None or spec.loader is None:
        return
    loader = spec.loader
    module = ModuleType(name)
    module.__spec__, module.__loader__, module.__file__ = spec, loader, spec.origin
    if spec.submodule_search_locations is not None:
        module.__path__ = spec.submodule_search_locations

    def load(attribute: str) -> object:
        """Return an attribute of the module."""
        if attribute.startswith('__'):
            raise AttributeError(attribute)
        for part in parts:
            __import__(part)
            if attribute in vars(sys.modules[part]):
                return vars(sys.modules[part])[attribute]
        # After the code has run, a missing name raises an AttributeError as usual.
        if vars(module).pop('__getattr__', None) is not None:
            try:
                loader.exec_module(module)
            except BaseException:
                # Its file may not be readable at this moment, as without a free file descriptor.
                vars(module)['__getattr__'] = load
                raise
        return getattr(module, attribute)

    vars(module)['__getattr__'] = load
    sys.modules[name] = module
