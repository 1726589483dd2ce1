"""A decorator that libraries put on what they will drop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('deprecated',)

T = TypeVar('T')


def deprecated(_: str, /, **__: Any) -> Callable[[T], T]:
    """Leave what it is put on as it is, with no warning at its use."""
    return lambda decorated: decorated
