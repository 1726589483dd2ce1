"""Fingerprints are equal for attempts at the same request and differ otherwise."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.request_fingerprint import fingerprint_of

PARTS = (b'POST', b'calls.example', b'/stream/a?x=1', b'body')


@pytest.mark.parametrize('index', range(4))
def test_fingerprint_differs_if_any_part_differs(index: int) -> None:
    changed = list(PARTS)
    changed[index] += b'0'
    assert fingerprint_of(*changed).digest != fingerprint_of(*PARTS).digest
    assert fingerprint_of(*PARTS) == fingerprint_of(*PARTS)


def test_bytes_moved_between_parts_change_the_fingerprint() -> None:
    # Otherwise a caller that can choose its path could forge the fingerprint of another request.
    moved = fingerprint_of(b'POST', b'calls.example', b'/stream/a?x=1b', b'ody')
    assert moved.digest != fingerprint_of(*PARTS).digest


def test_target_hash_ignores_the_body() -> None:
    assert fingerprint_of(*PARTS[:3], b'other').target == fingerprint_of(*PARTS).target
