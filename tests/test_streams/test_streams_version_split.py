"""Which version begins a stream, and which ones may have begun it."""

from __future__ import annotations

import itertools
from random import Random

from citrondyke.decisions.streams.version_split import (
    KEYS_COUNT,
    SPLITS_LIMIT,
    VersionSplit,
    next_splits,
    possible_versions,
)

LIFE_MS = 10_000.0
RANDOM = Random(1)
KEYS = [RANDOM.randrange(KEYS_COUNT) for _ in range(2_000)]


def test_streams_are_split_by_weight_and_few_move() -> None:
    # A release replaces five servers one after the other.
    steps = [VersionSplit({'v1': 5 - n, 'v2': n}) for n in range(6)]
    for number, split in enumerate(steps):
        share = sum(split.version_of(key) == 'v2' for key in KEYS) / len(KEYS)
        assert abs(share - number / 5) < 0.05
    for before, after in itertools.pairwise(steps):
        moved = sum(before.version_of(key) != after.version_of(key) for key in KEYS)
        assert moved / len(KEYS) < 0.25


def test_replaced_split_matters_for_the_life_of_a_stream() -> None:
    splits = next_splits((), {'v1': 1}, 0.0, LIFE_MS)
    splits = next_splits(splits, {'v2': 1}, 1_000.0, LIFE_MS)
    assert possible_versions(splits, KEYS[0], 1_000.0 + LIFE_MS - 1.0, LIFE_MS) == {'v1', 'v2'}
    assert possible_versions(splits, KEYS[0], 1_000.0 + LIFE_MS, LIFE_MS) == {'v2'}
    splits = next_splits(splits, {'v3': 1}, 1_000.0 + LIFE_MS, LIFE_MS)
    assert [split.weights for split in splits] == [{'v2': 1}, {'v3': 1}]


def test_splits_beyond_the_limit_leave_any_version_possible() -> None:
    splits: list[VersionSplit] = []
    for number in range(3 * SPLITS_LIMIT):
        splits = next_splits(splits, {f'v{number}': 1}, float(number), LIFE_MS)
    assert len(splits) <= SPLITS_LIMIT
    assert None in possible_versions(splits, KEYS[0], 100.0, LIFE_MS)
