"""The object store: bytes under names, written once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from citrondyke.ids import ObjectKey
from citrondyke.storage.failure import PlatformFailure

__all__ = ('ObjectStore',)


class ObjectStore(ABC):
    """A client of the object store; every call has its own timeout."""

    @abstractmethod
    def put(self, key: ObjectKey, body: bytes) -> PlatformFailure | None:
        """Store an object; the same key again replaces it."""

    @abstractmethod
    def get(self, key: ObjectKey) -> bytes | PlatformFailure:
        """Fetch an object."""

    @abstractmethod
    def delete(self, key: ObjectKey) -> PlatformFailure | None:
        """Delete an object; one that is not there counts as deleted."""

    @abstractmethod
    def list_keys(self, prefix: str) -> list[ObjectKey] | PlatformFailure:
        """List the keys below a prefix, in order."""
