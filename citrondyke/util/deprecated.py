"""Replacement for the ``deprecated`` decorator of ``typing_extensions``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('deprecated',)

T = TypeVar('T')


def deprecated(_: str, /, **__: Any) -> Callable[[T], T]:
    """Return the decorated object unchanged, without warnings at its use."""
    return lambda decorated: decorated
