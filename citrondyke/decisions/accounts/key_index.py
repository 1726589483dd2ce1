"""Finds who holds a key, by its digest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('KeyIndex',)

Holder = TypeVar('Holder')


class KeyIndex(Generic[Holder]):
    """Holders of keys by the keys' digests; the keys themselves are kept nowhere.

    A look-up by digest tells nothing of a stored key by its timing: whoever tries keys cannot
    choose digests that share a beginning with a stored one.
    """

    def __init__(self, holders: Iterable[tuple[Holder, Iterable[str]]] = ()) -> None:
        """Take in holders with the digests of their keys."""
        self._by_digest: dict[str, Holder] = {}
        for holder, digests in holders:
            self.add(holder, digests)

    def add(self, holder: Holder, digests: Iterable[str]) -> None:
        """Take in one more holder."""
        self._by_digest.update(dict.fromkeys(digests, holder))

    def drop(self, digests: Iterable[str]) -> None:
        """Forget keys."""
        for digest in digests:
            self._by_digest.pop(digest, None)

    def clear(self) -> None:
        """Forget all keys."""
        self._by_digest.clear()

    def find(self, digest: str) -> Holder | None:
        """Find whose key has a digest."""
        return self._by_digest.get(digest)
