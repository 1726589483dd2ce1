"""Encoding and compression of the server list updates that readers send to their zone."""

from __future__ import annotations

import msgspec
import zstandard

from citrondyke.decisions.server_list.server_list_update import ServerListUpdate
from citrondyke.util.decoding import decode_msgpack, decompress

__all__ = ('compress_bytes', 'decode_update', 'decompress_if_needed', 'encode_update')

#: Rows resemble each other, so that even the fastest level compresses them to a fraction.
COMPRESSION_LEVEL = 1
#: Longer than any server list: data that decompresses to more comes from no instance.
UPDATE_LIMIT_BYTES = 64 * 1024 * 1024
#: First bytes of a Zstandard frame; no MessagePack message between instances begins with them.
ZSTD_MAGIC = b'\x28\xb5\x2f\xfd'


def encode_update(update: ServerListUpdate) -> bytes:
    """Encode and compress an update."""
    return compress_bytes(msgspec.msgpack.encode(update))


def decode_update(data: bytes) -> ServerListUpdate:
    """Decompress and decode an update.

    :raises UnreadableBytesError: if the data is not a valid update.
    """
    return decode_msgpack(decompress(data, UPDATE_LIMIT_BYTES), ServerListUpdate)


def compress_bytes(data: bytes) -> bytes:
    """Compress data with Zstandard."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress_if_needed(data: bytes) -> bytes:
    """Decompress compressed data, and return other data unchanged.

    :raises UnreadableBytesError: if the decompressed data is larger than any server list.
    """
    return decompress(data, UPDATE_LIMIT_BYTES) if data.startswith(ZSTD_MAGIC) else data
