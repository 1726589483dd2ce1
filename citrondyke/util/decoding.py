"""Decoding of untrusted bytes."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import zstandard

from citrondyke.errors.unreadable_bytes import UnreadableBytesError

__all__ = ('decode_json', 'decode_msgpack', 'decompress')

Decoded = TypeVar('Decoded')

#: Besides their own errors, the libraries raise these for deep nesting, numbers too large for a
#: field and invalid text. An unhandled one would end the task that follows a table, and the
#: instance would continue with stale rows.
FAILURES = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError, TypeError)


def decode_json(raw: bytes, value_type: type[Decoded]) -> Decoded:
    """Decode JSON.

    :raises UnreadableBytesError: when the bytes do not encode this type.
    """
    try:
        return msgspec.json.decode(raw, type=value_type)
    except FAILURES as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error


def decode_msgpack(raw: bytes, value_type: type[Decoded]) -> Decoded:
    """Decode MessagePack.

    :raises UnreadableBytesError: when the bytes do not encode this type.
    """
    try:
        return msgspec.msgpack.decode(raw, type=value_type)
    except FAILURES as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error


def decompress(value: bytes, limit_bytes: int) -> bytes:
    """Decompress a Zstandard frame whose declared size is within a limit.

    :raises UnreadableBytesError: when the value is not compressed, or larger.
    """
    try:
        if zstandard.frame_content_size(value) > limit_bytes:
            # The library would allocate the declared size, however large it is.
            raise UnreadableBytesError(f'more than {limit_bytes} bytes')
        return zstandard.ZstdDecompressor().decompress(value, max_output_size=limit_bytes)
    except (zstandard.ZstdError, MemoryError) as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error
