"""Leaves out of the start what libraries import and this program never uses."""

from __future__ import annotations

from citrondyke.util.put_off import put_off

__all__ = ('put_off_unused',)


def put_off_unused() -> None:
    """Put off parts of the standard library; to be called before any library is imported."""
    # pycapnp takes one class of it; its event loop is never run here.
    put_off('asyncio', ('asyncio.protocols',))
    # logbook's handlers for mail and for packed files.
    put_off('ssl')
    put_off('gzip')
    # It takes one hash of it, which is not used; the extension has it too.
    put_off('hashlib', ('_sha1',))
    # On this version of Python, all that is taken of it but one decorator is in ``typing``.
    put_off('typing_extensions', ('typing', 'citrondyke.util.deprecated'))
    # For addresses in brackets, which no URL here has.
    put_off('ipaddress')
    # For tracebacks of sources, and messages of uncommon errors.
    put_off('tokenize')
