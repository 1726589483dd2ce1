"""What readers of the list of servers tell their zone, as bytes."""

from __future__ import annotations

import msgspec
import zstandard

from citrondyke.decisions.server_list.server_list_update import ServerListUpdate
from citrondyke.util.decoding import decode_msgpack, decompress

__all__ = ('compress_bytes', 'decode_update', 'decompress_if_needed', 'encode_update')

#: Rows resemble each other: the fastest level leaves a fraction of them.
LEVEL = 1
#: No list of servers is longer; bytes that swell beyond it come from no instance.
UPDATE_LIMIT_BYTES = 64 * 1024 * 1024
#: With which compressed bytes begin, and no MessagePack of ours.
MAGIC = b'\x28\xb5\x2f\xfd'


def encode_update(offer: ServerListUpdate) -> bytes:
    """Encode and compress rows that are handed on."""
    return compress_bytes(msgspec.msgpack.encode(offer))


def decode_update(data: bytes) -> ServerListUpdate:
    """Decode them.

    :raises UnreadableBytesError: when the bytes are none.
    """
    return decode_msgpack(decompress(data, UPDATE_LIMIT_BYTES), ServerListUpdate)


def compress_bytes(data: bytes) -> bytes:
    """Compress what is worth it."""
    return zstandard.ZstdCompressor(level=LEVEL).compress(data)


def decompress_if_needed(data: bytes) -> bytes:
    """Decompress what was compressed, and leave the rest as it is.

    :raises UnreadableBytesError: when it swells beyond any list.
    """
    return decompress(data, UPDATE_LIMIT_BYTES) if data.startswith(MAGIC) else data
