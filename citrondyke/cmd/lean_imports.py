"""Leaves out of the start what is imported, but used later or never."""

from __future__ import annotations

from citrondyke.util.lazy_import import defer_import

__all__ = ('defer_unused_imports',)


def defer_unused_imports() -> None:
    """Put off the modules below; to be called before any library is imported."""
    # pycapnp takes one class of it; its event loop is never run here.
    defer_import('asyncio', ('asyncio.protocols',))
    # logbook's handlers for mail and for packed files.
    defer_import('ssl')
    defer_import('gzip')
    # It takes one hash of it, which is not used; the extension has it too.
    defer_import('hashlib', ('_sha1',))
    # On this version of Python, all that is taken of it but one decorator is in ``typing``.
    defer_import('typing_extensions', ('typing', 'citrondyke.util.deprecated'))
    # msgspec knows UUIDs, whose module asks for the system's name.
    defer_import('platform', ('citrondyke.util.system_name',))
    # For the rows of jobs, and what peers know; it asks for the name of the interpreter as well.
    defer_import('zstandard')
    # For addresses in brackets, which no URL here has.
    defer_import('ipaddress')
    # For tracebacks of sources, and messages of uncommon errors.
    defer_import('tokenize')
