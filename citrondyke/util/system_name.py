"""The part of the module ``platform`` that ``uuid`` uses, without its regular expressions."""

from __future__ import annotations

import os

__all__ = ('system',)


def system() -> str:
    """Return the name of the operating system."""
    return os.uname().sysname
