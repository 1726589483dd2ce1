"""Index of API keys by their digest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('KeyIndex',)

Holder = TypeVar('Holder')


class KeyIndex(Generic[Holder]):
    """Maps key digests to key holders, without storing the keys.

    The time of a lookup by digest reveals nothing about stored keys: an attacker can't choose
    digests that share a prefix with a stored one.
    """

    def __init__(self, holders: Iterable[tuple[Holder, Iterable[str]]] = ()) -> None:
        """Initialize the index from holders and the digests of their keys."""
        self._by_digest: dict[str, Holder] = {}
        for holder, digests in holders:
            self.add(holder, digests)

    def add(self, holder: Holder, digests: Iterable[str]) -> None:
        """Add a holder with the digests of its keys."""
        self._by_digest.update(dict.fromkeys(digests, holder))

    def drop(self, digests: Iterable[str]) -> None:
        """Remove keys by their digests."""
        for digest in digests:
            self._by_digest.pop(digest, None)

    def clear(self) -> None:
        """Remove all keys."""
        self._by_digest.clear()

    def find(self, digest: str) -> Holder | None:
        """Return the holder of the key with a digest; ``None`` if there is none."""
        return self._by_digest.get(digest)
