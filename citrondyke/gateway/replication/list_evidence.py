"""What an instance can prove about the age of its server list."""

from __future__ import annotations

from abc import ABC, abstractmethod

__all__ = ('ListEvidence',)


class ListEvidence(ABC):
    """Tells how current the server list certainly is, and reads it if that is not enough."""

    @property
    @abstractmethod
    def list_confirmed_ms(self) -> float:
        """Time up to which the list certainly has all changes, by the fence clock."""

    @abstractmethod
    def confirm_list_since(self, since_ms: float) -> bool:
        """Wait for a bounded time for a read that began at a time or later.

        :param since_ms: a time by the fence clock.
        :returns: whether the list has all changes up to that time.
        """
