"""Assignment of new streams to software versions while several of them serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

import msgspec

from citrondyke.ids import SoftwareVersion

__all__ = ('Assignment', 'VersionSplit', 'next_splits', 'possible_versions')

#: Size of the range of stream keys.
KEYS_COUNT = 2**63
#: Splits that are remembered; a release replaces one for each server that comes or leaves.
SPLITS_LIMIT = 12


class Assignment(Enum):
    """Why no version is assigned to a new stream."""

    #: One version serves.
    ANY = 'any'
    #: Several versions serve, and the split among them is not known.
    UNKNOWN = 'unknown'


class VersionSplit(msgspec.Struct, frozen=True):
    """Determines which version begins a stream, by the stream's key.

    When all instances are lost, nobody remembers which version began which stream. A stored split
    tells it for all of them, without a write for each.
    """

    #: Weight of each version; empty if any version may have begun a stream.
    weights: dict[str, int] = {}
    #: When it was replaced, by the store's clock; ``None`` while it is in force or if that is not
    #: known.
    until_store_ms: float | None = None

    def version_of(self, key: int) -> SoftwareVersion | None:
        """Return the version that begins a stream; ``None`` if any may.

        When the weights change, few streams change their version.
        """
        point = key * sum(self.weights.values()) // KEYS_COUNT
        for version in sorted(self.weights):
            point -= self.weights[version]
            if point < 0:
                return SoftwareVersion(version)
        return None


def next_splits(
    splits: Sequence[VersionSplit],
    weights: Mapping[str, int],
    now_store_ms: float | None,
    life_ms: float,
) -> list[VersionSplit]:
    """Return the splits after a change of the weights.

    :param splits: splits so far, the one in force last.
    :param now_store_ms: time of the store; ``None`` if it is not known.
    :param life_ms: how long a replaced split matters.
    """
    kept = [
        msgspec.structs.replace(split, until_store_ms=now_store_ms)
        if split.until_store_ms is None
        else split
        for split in splits
        if _matters(split, now_store_ms, life_ms)
    ]
    if len(kept) >= SPLITS_LIMIT:
        merged = kept[: len(kept) - SPLITS_LIMIT + 2]
        kept = [VersionSplit({}, merged[-1].until_store_ms), *kept[len(merged) :]]
    return [*kept, VersionSplit(dict(weights))]


def possible_versions(
    splits: Iterable[VersionSplit], key: int, now_store_ms: float | None, life_ms: float
) -> frozenset[SoftwareVersion | None]:
    """Return the versions that can have begun a stream; ``None`` stands for any.

    :param now_store_ms: time of the store; ``None`` if it is not known.
    :param life_ms: how long a replaced split matters.
    """
    return frozenset(
        split.version_of(key) for split in splits if _matters(split, now_store_ms, life_ms)
    )


def _matters(split: VersionSplit, now_store_ms: float | None, life_ms: float) -> bool:
    if split.until_store_ms is None or now_store_ms is None:
        return True
    return split.until_store_ms + life_ms > now_store_ms
