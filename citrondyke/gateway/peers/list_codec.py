"""What readers of the list of servers tell their zone, as bytes."""

from __future__ import annotations

import msgspec
import zstandard

from citrondyke.decisions.knowledge.list_offer import ListOffer
from citrondyke.util.decoding import decode_msgpack, decompress

__all__ = ('decode_offer', 'encode_offer')

#: Rows resemble each other: the fastest level leaves a fraction of them.
LEVEL = 1
#: No list of servers is longer; bytes that swell beyond it come from no instance.
OFFER_LIMIT_BYTES = 64 * 1024 * 1024


def encode_offer(offer: ListOffer) -> bytes:
    """Encode and compress rows that are handed on."""
    return zstandard.ZstdCompressor(level=LEVEL).compress(msgspec.msgpack.encode(offer))


def decode_offer(data: bytes) -> ListOffer:
    """Decode them.

    :raises UnreadableBytesError: when the bytes are none.
    """
    return decode_msgpack(decompress(data, OFFER_LIMIT_BYTES), ListOffer)
