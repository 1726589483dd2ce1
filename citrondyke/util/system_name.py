"""What ``uuid`` asks of the module ``platform``, without its patterns for every other system."""

from __future__ import annotations

import os

__all__ = ('system',)


def system() -> str:
    """Give the name of the operating system."""
    return os.uname().sysname
