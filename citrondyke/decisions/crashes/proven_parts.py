"""Prompt parts that servers answered lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.suspect_key import RequestKeys, SuspectKey, part_key

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.ids import ContentDigest, PromptPart

__all__ = ('ProvenParts',)

#: How long an answer proves the parts of its prompt: callers of a part that is in use come back
#: sooner.
PROVEN_MS = 30_000.0
#: Parts kept, about 300 bytes each, and parts of one answer: a caller that invents parts would
#: need hundreds of answers within the time between two answers with a popular part to push it out.
PARTS_LIMIT = 1_024
PARTS_PER_ANSWER = 16


class _ProvenPart(msgspec.Struct):
    digest: ContentDigest
    answered_ms: float


class ProvenParts:
    """Remembers the parts of the prompts that this instance's requests got answers to.

    All requests on a server are interrupted when it exits, and those with a popular part are on
    nearly every server. What distinguishes the popular part from a harmful one is that requests
    with it are answered all the time.
    """

    def __init__(self, context: Context) -> None:
        """Start with no proven part."""
        self._context = context
        #: The part answered last comes last.
        self._by_part: dict[PromptPart, _ProvenPart] = {}
        self._by_digest: dict[ContentDigest, _ProvenPart] = {}

    def record_answer(self, keys: RequestKeys) -> None:
        """Record that a server answered a request."""
        for part in keys.prompt_parts[:PARTS_PER_ANSWER]:
            known = self._by_part.pop(part, None)
            if known is None:
                known = _ProvenPart(part_key(part).digest, 0.0)
                self._by_digest[known.digest] = known
            known.answered_ms = self._context.now_ms()
            self._by_part[part] = known
        while len(self._by_part) > PARTS_LIMIT:
            oldest = self._by_part.pop(next(iter(self._by_part)))
            del self._by_digest[oldest.digest]

    def is_proven(self, key: SuspectKey, within_ms: float = PROVEN_MS) -> bool:
        """Return whether a request with a prompt part was answered lately."""
        known = self._by_digest.get(key.digest)
        return known is not None and self._context.now_ms() - known.answered_ms <= within_ms
