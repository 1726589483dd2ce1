"""What makes two requests the same work."""

from __future__ import annotations

from functools import cached_property

import msgspec

from citrondyke.ids import ContentDigest
from citrondyke.util.hashing import content_bucket, digest_hex

__all__ = ('LazyRequestFingerprint', 'RequestFingerprint', 'fingerprint_of')

#: Hexadecimal digits of a digest: 80 bits, so that nobody finds a request that another one's
#: verdict would hold up.
DIGEST_DIGITS = 20


class RequestFingerprint(msgspec.Struct, frozen=True):
    """Names what a request asks for, whoever's attempt it is."""

    digest: ContentDigest
    #: Of the method, host and target alone: looked up before a body is digested.
    target: int


def fingerprint_of(method: bytes, host: bytes, target: bytes, body: bytes) -> RequestFingerprint:
    """Name a request by what does not change when it comes again.

    Headers are left out: callers make request ids, deadlines and resume positions anew for each
    attempt, and a name that changed with them would begin each attempt from nothing.
    """
    digest = digest_hex(method, host, target, body)[:DIGEST_DIGITS]
    return RequestFingerprint(ContentDigest(digest), _target_bucket(method, host, target))


class LazyRequestFingerprint:
    """What one request asks for, named as far as that is wanted, which it seldom is."""

    def __init__(self, method: bytes, host: str, target: bytes, body: bytes) -> None:
        """Keep the parts; nothing is digested yet."""
        self._parts = (method, host.encode('latin-1'), target, body)

    @cached_property
    def target(self) -> int:
        """Give what requests for one target share, without a look at the body."""
        return _target_bucket(*self._parts[:3])

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """Name it."""
        return fingerprint_of(*self._parts)


def _target_bucket(method: bytes, host: bytes, target: bytes) -> int:
    """Give a number of 32 bits that requests for one target share."""
    return content_bucket(b'\0'.join((method, host, target))) & 0xFFFF_FFFF
