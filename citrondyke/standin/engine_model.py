"""A simulation of a continuous-batching engine, without I/O or a clock."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.standin.engine_curve import EngineCurve

__all__ = ('EngineModel', 'EngineStream', 'EngineToken')

#: Largest number of prompt tokens that one step prefills.
PREFILL_CHUNK_TOKENS = 512


class EngineStream(msgspec.Struct):
    """A request in the engine."""

    stream_id: str
    prompt_tokens: int
    max_tokens: int
    prefix_key: str = ''
    #: Prompt tokens that need no prefill if the prefix is cached.
    prefix_tokens: int = 0
    #: Tokens already generated, here or on another server before a resume.
    done_tokens: int = 0
    prefill_left_tokens: int = -1
    cache_hit: bool = False


class EngineToken(msgspec.Struct, frozen=True):
    """A token generated in a step."""

    stream_id: str
    index: int
    last: bool


class EngineModel:
    """An engine that admits requests in order of arrival, without priorities."""

    def __init__(self, curve: EngineCurve, cache_tokens: int = 200_000) -> None:
        """Create an idle engine.

        :param cache_tokens: capacity of the prefix cache.
        """
        self._curve = curve
        self._cache_tokens = cache_tokens
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._waiting: deque[EngineStream] = deque()
        self._running: dict[str, EngineStream] = {}
        self.prefix_hits = 0
        self.prefix_misses = 0

    @property
    def running_count(self) -> int:
        """Return the number of streams in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of streams that wait to join the batch."""
        return len(self._waiting)

    def is_idle(self) -> bool:
        """Return whether a step would do nothing."""
        return not self._running and not self._waiting

    def submit(self, stream: EngineStream) -> None:
        """Queue a request, which joins the batch at the next step with free capacity."""
        self._waiting.append(stream)

    def cancel(self, stream_id: str) -> bool:
        """Drop a request; return whether it was in the engine."""
        if self._running.pop(stream_id, None) is not None:
            return True
        for stream in self._waiting:
            if stream.stream_id == stream_id:
                self._waiting.remove(stream)
                return True
        return False

    def drop_all(self) -> None:
        """Drop all requests and the prefix cache, as in a crash."""
        self._running.clear()
        self._waiting.clear()
        self._cached.clear()
        self._cached_tokens = 0

    def begin_step(self) -> float:
        """Admit waiting requests up to the batch limit and return the step duration in ms."""
        while self._waiting and len(self._running) < self._curve.max_running:
            stream = self._waiting.popleft()
            self._begin_prefill(stream)
            self._running[stream.stream_id] = stream
        budget = PREFILL_CHUNK_TOKENS
        prefilled = 0
        for stream in self._running.values():
            prefill = min(stream.prefill_left_tokens, budget - prefilled)
            if prefill > 0:
                stream.prefill_left_tokens -= prefill
                prefilled += prefill
        return self._curve.step_ms(len(self._running), prefilled)

    def end_step(self) -> list[EngineToken]:
        """Generate a token for each stream whose prefill is finished."""
        tokens: list[EngineToken] = []
        for stream in list(self._running.values()):
            if stream.prefill_left_tokens > 0:
                continue
            index = stream.done_tokens
            stream.done_tokens += 1
            last = stream.done_tokens >= stream.max_tokens
            if last:
                del self._running[stream.stream_id]
            tokens.append(EngineToken(stream.stream_id, index, last))
        return tokens

    def _begin_prefill(self, stream: EngineStream) -> None:
        cached_tokens = 0
        if stream.prefix_key:
            stream.cache_hit = stream.prefix_key in self._cached
            cached_tokens = stream.prefix_tokens if stream.cache_hit else 0
            self._update_prefix_cache(stream)
        # A resumed stream recomputes the tokens generated before as part of its prompt.
        stream.prefill_left_tokens = stream.prompt_tokens + stream.done_tokens - cached_tokens

    def _update_prefix_cache(self, stream: EngineStream) -> None:
        if stream.cache_hit:
            self.prefix_hits += 1
            self._cached.move_to_end(stream.prefix_key)
            return
        self.prefix_misses += 1
        self._cached[stream.prefix_key] = stream.prefix_tokens
        self._cached_tokens += stream.prefix_tokens
        while self._cached_tokens > self._cache_tokens and len(self._cached) > 1:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
