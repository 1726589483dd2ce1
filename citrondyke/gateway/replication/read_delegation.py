"""Whether somebody else reads a table for this instance."""

from __future__ import annotations

from abc import ABC, abstractmethod

__all__ = ('NoReadDelegation', 'ReadDelegation')


class ReadDelegation(ABC):
    """What a follower of a table asks before it calls the store."""

    @property
    @abstractmethod
    def is_delegated(self) -> bool:
        """Tell whether the changes are heard of from somebody who reads them."""

    @property
    @abstractmethod
    def is_delegate_reader(self) -> bool:
        """Tell whether others rely on the reads of this instance."""

    @abstractmethod
    def delay_first_read(self) -> None:
        """Wait, a bounded time, for somebody who has read it."""


class NoReadDelegation(ReadDelegation):
    """Everybody reads."""

    @property
    def is_delegated(self) -> bool:
        """Tell that nobody does."""
        return False

    @property
    def is_delegate_reader(self) -> bool:
        """Tell that nobody relies on it."""
        return False

    def delay_first_read(self) -> None:
        """Wait for nobody."""
