"""A set of item positions within a segment, stored as a bitmap."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

__all__ = ('ItemSet',)


class ItemSet:
    """An immutable set of small positions; its text form is a hexadecimal bitmap."""

    __slots__ = ('_bits',)

    def __init__(self, bits: int = 0) -> None:
        """Create a set from a bitmap."""
        self._bits = bits

    @classmethod
    def first(cls, count: int) -> ItemSet:
        """Return the set of positions 0 to ``count`` - 1."""
        return cls((1 << count) - 1)

    @classmethod
    def of(cls, positions: Iterable[int]) -> ItemSet:
        """Return the set of some positions."""
        bits = 0
        for position in positions:
            bits |= 1 << position
        return cls(bits)

    @classmethod
    def parse(cls, text: str) -> ItemSet:
        """Parse the text form; an empty text is the empty set."""
        return cls(int(text, 16) if text else 0)

    def text(self) -> str:
        """Return the text form."""
        return f'{self._bits:x}' if self._bits else ''

    def __iter__(self) -> Iterator[int]:
        """Iterate over the positions in ascending order."""
        bits = self._bits
        while bits:
            lowest = bits & -bits
            yield lowest.bit_length() - 1
            bits ^= lowest

    def __len__(self) -> int:
        """Return the number of positions."""
        return self._bits.bit_count()

    def __contains__(self, position: int) -> bool:
        """Return whether the set contains a position."""
        return bool(self._bits >> position & 1)

    def __eq__(self, other: object) -> bool:
        """Compare by content."""
        return isinstance(other, ItemSet) and self._bits == other._bits

    def __hash__(self) -> int:
        """Hash by content."""
        return hash(self._bits)

    def __or__(self, other: ItemSet) -> ItemSet:
        """Return the union."""
        return ItemSet(self._bits | other._bits)

    def __and__(self, other: ItemSet) -> ItemSet:
        """Return the intersection."""
        return ItemSet(self._bits & other._bits)

    def __sub__(self, other: ItemSet) -> ItemSet:
        """Return the difference."""
        return ItemSet(self._bits & ~other._bits)
