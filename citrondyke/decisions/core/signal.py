"""A one-shot event that carries a value."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ('Signal',)

T = TypeVar('T')


class Signal(Generic[T]):
    """Fires once with a value; later subscribers are called immediately."""

    __slots__ = ('_callbacks', '_value', 'is_fired')

    def __init__(self) -> None:
        """Create a signal that has not fired."""
        self.is_fired = False
        self._value: T | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def value(self) -> T:
        """Return the value that the signal fired with.

        :raises LookupError: if it has not fired.
        """
        if not self.is_fired:
            raise LookupError
        return self._value  # type: ignore[return-value]

    def fire(self, value: T) -> None:
        """Set the value and call every subscriber; later calls have no effect."""
        if self.is_fired:
            return
        self.is_fired = True
        self._value = value
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the signal fires."""
        if self.is_fired:
            callback()
            return
        self._callbacks.append(callback)

    def unsubscribe(self, callback: Callable[[], None]) -> None:
        """Remove ``callback``, so that abandoned waits do not accumulate."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)
