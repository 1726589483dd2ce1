"""Fingerprints are equal for attempts at the same request and differ otherwise."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.suspect_key import content_key

PARTS = (b'POST', b'calls.example', b'/stream/a?x=1', b'body')


@pytest.mark.parametrize('index', range(4))
def test_fingerprint_differs_if_any_part_differs(index: int) -> None:
    changed = list(PARTS)
    changed[index] += b'0'
    assert content_key(*changed).digest != content_key(*PARTS).digest
    assert content_key(*PARTS) == content_key(*PARTS)


def test_bytes_moved_between_parts_change_the_fingerprint() -> None:
    # Otherwise a caller that can choose its path could forge the fingerprint of another request.
    moved = content_key(b'POST', b'calls.example', b'/stream/a?x=1b', b'ody')
    assert moved.digest != content_key(*PARTS).digest


def test_target_hash_ignores_the_body() -> None:
    assert content_key(*PARTS[:3], b'other').target == content_key(*PARTS).target
