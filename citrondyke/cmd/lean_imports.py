"""Defers imports that the start of the daemon does not need."""

from __future__ import annotations

from citrondyke.util.lazy_import import defer_import

__all__ = ('defer_unused_imports',)


def defer_unused_imports() -> None:
    """Defer modules that libraries import but the daemon uses later or never.

    Must be called before any library is imported.
    """
    # pycapnp uses one class of it; the event loop never runs in this process.
    defer_import('asyncio', ('asyncio.protocols',))
    # Used only by the mail and compressed file handlers of logbook, which are not used here.
    defer_import('ssl')
    defer_import('gzip')
    # logbook imports one hash function, which is not used; the C extension provides it as well.
    defer_import('hashlib', ('_sha1',))
    # In this version of Python, ``typing`` has all names imported from it except one decorator.
    defer_import('typing_extensions', ('typing', 'citrondyke.util.deprecated'))
    # msgspec imports ``uuid``, which only needs the name of the operating system from it.
    defer_import('platform', ('citrondyke.util.system_name',))
    # Needed only for rows of jobs and for state sent by peers. It also reads the name of the
    # interpreter, for which it imports ``platform``.
    defer_import('zstandard')
    # Needed only for bracketed IPv6 addresses, which no URL here contains.
    defer_import('ipaddress')
    # Needed only for source lines in tracebacks and for messages of rare errors.
    defer_import('tokenize')
