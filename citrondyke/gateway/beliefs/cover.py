"""Whether somebody else reads a table for this instance."""

from __future__ import annotations

from abc import ABC, abstractmethod

__all__ = ('Cover', 'NoCover')


class Cover(ABC):
    """What a follower of a table asks before it calls the store."""

    @property
    @abstractmethod
    def is_covered(self) -> bool:
        """Tell whether the changes are heard of from somebody who reads them."""

    @property
    @abstractmethod
    def reads_for_others(self) -> bool:
        """Tell whether others rely on the reads of this instance."""

    @abstractmethod
    def hold_first_read(self) -> None:
        """Wait, a bounded time, for somebody who has read it."""


class NoCover(Cover):
    """Everybody reads."""

    @property
    def is_covered(self) -> bool:
        """Tell that nobody does."""
        return False

    @property
    def reads_for_others(self) -> bool:
        """Tell that nobody relies on it."""
        return False

    def hold_first_read(self) -> None:
        """Wait for nobody."""
