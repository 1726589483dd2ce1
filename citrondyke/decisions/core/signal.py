"""A value that is not there yet."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ('Signal',)

T = TypeVar('T')


class Signal(Generic[T]):
    """Fires once with a value; whoever subscribes after that is called at once."""

    __slots__ = ('_callbacks', '_value', 'is_fired')

    def __init__(self) -> None:
        """Start unfired."""
        self.is_fired = False
        self._value: T | None = None
        self._callbacks: list[Callable[[], None]] = []

    @property
    def value(self) -> T:
        """Give the value it fired with.

        :raises LookupError: when it has not fired.
        """
        if not self.is_fired:
            raise LookupError
        return self._value  # type: ignore[return-value]

    def fire(self, value: T) -> None:
        """Set the value and call every subscriber; a second call changes nothing."""
        if self.is_fired:
            return
        self.is_fired = True
        self._value = value
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when it fires."""
        if self.is_fired:
            callback()
            return
        self._callbacks.append(callback)

    def unsubscribe(self, callback: Callable[[], None]) -> None:
        """Forget ``callback``; a waiter that gave up must not pile up here."""
        if callback in self._callbacks:
            self._callbacks.remove(callback)
