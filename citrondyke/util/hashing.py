"""Digests and rendezvous weights, all by xxhash or BLAKE2."""

from __future__ import annotations

import hashlib
from typing import TypeVar

import xxhash

__all__ = ('content_hash', 'digest_hex', 'key_hash', 'rendezvous_weight')

Named = TypeVar('Named', bound=str)

#: Bytes of a digest that identifies content: collisions stay out of reach.
DIGEST_BYTES = 20


def digest_hex(*parts: bytes) -> str:
    """Digest the parts; their boundaries count."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.hexdigest()


def key_hash(secret: str) -> str:
    """Hash a tenant's or operator's key for storage.

    The keys are long and random, so that a plain digest cannot be searched backwards.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def rendezvous_weight(name: str, seed: str) -> int:
    """Give the weight of one candidate for one seed."""
    return xxhash.xxh3_64_intdigest(f'{seed}\x00{name}'.encode())


def content_hash(data: bytes) -> int:
    """Give a number that equal bytes share."""
    return xxhash.xxh3_64_intdigest(data)
