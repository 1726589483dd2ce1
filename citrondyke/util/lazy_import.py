"""Modules whose code runs only when something of them is used."""

from __future__ import annotations

import sys
from _frozen_importlib_external import PathFinder
from types import ModuleType

__all__ = ('defer_import',)


def defer_import(name: str, parts: tuple[str, ...] = ()) -> None:
    """Have a module's code run at the first use of a name in it, not when it is imported.

    For what a library imports at its start, and this program never uses.

    :param parts: submodules whose names are given without running the package's code.
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
        """Give a name of the module."""
        if attribute.startswith('__'):
            raise AttributeError(attribute)
        for part in parts:
            __import__(part)
            if attribute in vars(sys.modules[part]):
                return vars(sys.modules[part])[attribute]
        # Once it has run, what it lacks is an error as ever.
        if vars(module).pop('__getattr__', None) is not None:
            loader.exec_module(module)
        return getattr(module, attribute)

    vars(module)['__getattr__'] = load
    sys.modules[name] = module
