"""Deterministic text generation of the engine stand-in."""

from __future__ import annotations

import xxhash

__all__ = ('expected_text', 'prompt_seed', 'token_text')

WORD_COUNT = 9973


def prompt_seed(prompt: str) -> int:
    """Return the seed of the answer to a prompt."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


def token_text(seed: int, index: int) -> str:
    """Return one token, which is the same on each server, as at temperature 0."""
    return f'w{(seed + index * 7919) % WORD_COUNT} '


def expected_text(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt, for checks by callers."""
    seed = prompt_seed(prompt)
    return ''.join(token_text(seed, index) for index in range(tokens))
