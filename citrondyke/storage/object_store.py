"""Interface of the object store: bytes by key, written once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from citrondyke.ids import ObjectKey
from citrondyke.storage.failure import PlatformFailure

__all__ = ('ObjectStore',)


class ObjectStore(ABC):
    """A client for the object store; each call has its own timeout."""

    @abstractmethod
    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        """Store an object; replace any object with the same key."""

    @abstractmethod
    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        """Fetch an object."""

    @abstractmethod
    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        """Delete an object; succeed if it does not exist."""

    @abstractmethod
    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        """List the keys with a prefix, in order."""
