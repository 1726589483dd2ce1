"""Attempts at the same work have one name, other work has another."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.request_fingerprint import fingerprint_of

PARTS = (b'POST', b'calls.example', b'/stream/a?x=1', b'body')


@pytest.mark.parametrize('place', range(4))
def test_another_part_is_other_work(place: int) -> None:
    changed = list(PARTS)
    changed[place] += b'0'
    assert fingerprint_of(*changed).digest != fingerprint_of(*PARTS).digest
    assert fingerprint_of(*PARTS) == fingerprint_of(*PARTS)


def test_bytes_that_move_between_parts_are_other_work() -> None:
    # A caller that may choose its path could otherwise share the name of another one's request.
    moved = fingerprint_of(b'POST', b'calls.example', b'/stream/a?x=1b', b'ody')
    assert moved.digest != fingerprint_of(*PARTS).digest


def test_target_is_known_before_the_body() -> None:
    assert fingerprint_of(*PARTS[:3], b'other').target == fingerprint_of(*PARTS).target
