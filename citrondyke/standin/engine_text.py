"""The deterministic text of the engine's stand-in."""

from __future__ import annotations

import xxhash

__all__ = ('expected_text', 'prompt_seed', 'token_text')

WORD_COUNT = 9973


def prompt_seed(prompt: str) -> int:
    """Give the seed of everything an engine says to this prompt."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


def token_text(seed: int, index: int) -> str:
    """Give one token; the same on every server, as at temperature 0."""
    return f'w{(seed + index * 7919) % WORD_COUNT} '


def expected_text(prompt: str, tokens: int) -> str:
    """Give the whole answer, for checks from outside."""
    seed = prompt_seed(prompt)
    return ''.join(token_text(seed, index) for index in range(tokens))
