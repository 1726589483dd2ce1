"""Decoding of bytes that anybody may have written."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import zstandard

from citrondyke.errors.unreadable_bytes import UnreadableBytesError

__all__ = ('decode_json', 'decode_msgpack', 'decompress')

Decoded = TypeVar('Decoded')

#: What the libraries raise besides their own errors: deep nesting, numbers too large for a field,
#: text that is none. One of them past a handler would end the task that follows a table, and its
#: instance would go on with what it knew then.
FAILURES = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError, TypeError)


def decode_json(raw: bytes, kind: type[Decoded]) -> Decoded:
    """Decode JSON.

    :raises UnreadableBytesError: when the bytes are not of this kind.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except FAILURES as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error


def decode_msgpack(raw: bytes, kind: type[Decoded]) -> Decoded:
    """Decode MessagePack.

    :raises UnreadableBytesError: when the bytes are not of this kind.
    """
    try:
        return msgspec.msgpack.decode(raw, type=kind)
    except FAILURES as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error


def decompress(value: bytes, limit_bytes: int) -> bytes:
    """Decompress a value whose stated size is within a limit.

    :raises UnreadableBytesError: when it is not compressed, or larger.
    """
    try:
        if zstandard.frame_content_size(value) > limit_bytes:
            # The library would allocate whatever size the bytes state.
            raise UnreadableBytesError(f'more than {limit_bytes} bytes')
        return zstandard.ZstdDecompressor().decompress(value, max_output_size=limit_bytes)
    except (zstandard.ZstdError, MemoryError) as error:
        raise UnreadableBytesError(f'{type(error).__name__}: {error}') from error
