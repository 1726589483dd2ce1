"""Fingerprints that identify repeated attempts at the same request."""

from __future__ import annotations

from functools import cached_property

import msgspec

from citrondyke.ids import ContentDigest
from citrondyke.util.hashing import content_hash, digest_hex

__all__ = ('LazyRequestFingerprint', 'RequestFingerprint', 'fingerprint_of')

#: Hexadecimal digits of a digest: 80 bits, so that nobody can construct a request that collides
#: with another one and gets it blocked.
DIGEST_DIGITS = 20


class RequestFingerprint(msgspec.Struct, frozen=True):
    """Identity of a request's content, shared by all attempts at it."""

    digest: ContentDigest
    #: Hash of the method, host and target only; it is looked up before a body is digested.
    target: int


def fingerprint_of(method: bytes, host: bytes, target: bytes, body: bytes) -> RequestFingerprint:
    """Return the fingerprint of the parts of a request that stay the same when it is retried.

    Headers are excluded: callers create new request ids, deadlines and resume positions for each
    attempt. If these changed the fingerprint, no evidence would carry over to the next attempt.
    """
    digest = digest_hex(method, host, target, body)[:DIGEST_DIGITS]
    return RequestFingerprint(ContentDigest(digest), _target_bucket(method, host, target))


class LazyRequestFingerprint:
    """Fingerprint that is computed on first use, as most requests never need it."""

    def __init__(self, method: bytes, host: str, target: bytes, body: bytes) -> None:
        """Store the parts; nothing is digested yet."""
        self._parts = (method, host.encode('latin-1'), target, body)

    @cached_property
    def target(self) -> int:
        """Return the target hash, for which the body is not read."""
        return _target_bucket(*self._parts[:3])

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """Return the full fingerprint, including the body's digest."""
        return fingerprint_of(*self._parts)


def _target_bucket(method: bytes, host: bytes, target: bytes) -> int:
    """Return a 32-bit hash of the method, host and target."""
    return content_hash(b'\0'.join((method, host, target))) & 0xFFFF_FFFF
