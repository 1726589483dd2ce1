"""Keys under which server exits are counted: a request's content, and parts of its prompt."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

import msgspec

from citrondyke.ids import ContentDigest, PromptPart
from citrondyke.util.hashing import content_hash, digest_hex

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ('RequestKeys', 'SuspectKey', 'content_key', 'part_key')

#: Hexadecimal digits of a digest: 80 bits, so that nobody can construct a request that collides
#: with another one and gets it blocked.
DIGEST_DIGITS = 20
#: Target of the keys of prompt parts, which requests of any target share.
PART_TARGET = 0
#: Parts of one prompt that are considered; more would let one caller push out other suspects.
PARTS_LIMIT = 32


class SuspectKey(msgspec.Struct, frozen=True):
    """Identity of what several requests have in common: their whole content, or a prompt part."""

    digest: ContentDigest
    #: Hash of the method, host and target only, which is looked up before a body is digested;
    #: ``PART_TARGET`` for prompt parts.
    target: int

    @property
    def is_part(self) -> bool:
        """Whether it identifies a part of prompts."""
        return self.target == PART_TARGET


def content_key(method: bytes, host: bytes, target: bytes, body: bytes) -> SuspectKey:
    """Return the key of the parts of a request that stay the same when it is retried.

    Headers are excluded: callers create new request ids, deadlines and resume positions for each
    attempt. If these changed the key, no evidence would carry over to the next attempt.
    """
    digest = digest_hex(method, host, target, body)[:DIGEST_DIGITS]
    return SuspectKey(ContentDigest(digest), _target_bucket(method, host, target))


def part_key(part: PromptPart) -> SuspectKey:
    """Return the key of a prompt part, whatever else the prompt holds."""
    digest = digest_hex(b'prompt part', part.encode())[:DIGEST_DIGITS]
    return SuspectKey(ContentDigest(digest), PART_TARGET)


class RequestKeys:
    """Keys of one request, computed on first use, as most requests never need them."""

    def __init__(
        self,
        method: bytes,
        host: str,
        target: bytes,
        body: bytes,
        prompt_parts: Sequence[PromptPart] = (),
    ) -> None:
        """Store the parts; nothing is digested yet.

        :param prompt_parts: parts of the prompt that other requests may share, in order.
        """
        self._content = (method, host, target, body)
        self.prompt_parts = tuple(prompt_parts[:PARTS_LIMIT])

    def without_parts(self) -> RequestKeys:
        """Return the same keys without those of prompt parts."""
        return RequestKeys(*self._content)

    @cached_property
    def target(self) -> int:
        """Return the target hash, for which the body is not read."""
        method, host, target, _ = self._content
        return _target_bucket(method, host.encode('latin-1'), target)

    @cached_property
    def content(self) -> SuspectKey:
        """Return the key of the whole content, including the body's digest."""
        method, host, target, body = self._content
        return content_key(method, host.encode('latin-1'), target, body)

    @cached_property
    def parts(self) -> tuple[SuspectKey, ...]:
        """Return the keys of the prompt parts."""
        return tuple(part_key(part) for part in self.prompt_parts)


def _target_bucket(method: bytes, host: bytes, target: bytes) -> int:
    """Return a 32-bit hash of the method, host and target, other than ``PART_TARGET``."""
    return content_hash(b'\0'.join((method, host, target))) & 0xFFFF_FFFF or 1
