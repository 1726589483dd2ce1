"""Delegation of a table's reads to another instance."""

from __future__ import annotations

from abc import ABC, abstractmethod

__all__ = ('NoReadDelegation', 'ReadDelegation')


class ReadDelegation(ABC):
    """Decides for a table's follower whether it must read the store itself."""

    @property
    @abstractmethod
    def is_delegated(self) -> bool:
        """Whether another instance reads the table and sends its changes to this one."""

    @property
    @abstractmethod
    def is_delegate_reader(self) -> bool:
        """Whether other instances rely on the reads of this one."""

    @abstractmethod
    def delay_first_read(self) -> None:
        """Wait for a bounded time for an instance that has read the table."""


class NoReadDelegation(ReadDelegation):
    """No delegation: every instance reads the table itself."""

    @property
    def is_delegated(self) -> bool:
        """Return ``False``."""
        return False

    @property
    def is_delegate_reader(self) -> bool:
        """Return ``False``, since no instance relies on this one."""
        return False

    def delay_first_read(self) -> None:
        """Return at once."""
