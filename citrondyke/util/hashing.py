"""Digests, hashes and rendezvous weights."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import xxhash

__all__ = ('content_hash', 'digest_hex', 'key_hash', 'rendezvous_weight')

Named = TypeVar('Named', bound=str)

#: Size of a digest that identifies content; large enough to rule out collisions.
DIGEST_BYTES = 20


def digest_hex(*parts: bytes) -> str:
    """Return a digest of the parts that depends on their boundaries."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.hexdigest()


def key_hash(secret: str) -> str:
    """Hash the key of a tenant or an operator for storage.

    The keys are long and random, so that an unsalted digest cannot be reversed by search.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def rendezvous_weight(name: str, seed: str) -> int:
    """Return the rendezvous weight of a candidate for a seed."""
    return xxhash.xxh3_64_intdigest(f'{seed}\x00{name}'.encode())


def content_hash(data: bytes) -> int:
    """Return a 64-bit hash of the content."""
    return xxhash.xxh3_64_intdigest(data)
