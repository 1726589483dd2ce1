"""Batch items that wait at an instance, as bytes."""

from __future__ import annotations

import math

import msgspec

from citrondyke.decisions.batch.batch_demand import CompletionLikelihood, DemandNotice
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.util.decoding import decode_msgpack

__all__ = ('pack_demand', 'unpack_demand')

#: More than a server list has places.
COUNT_LIMIT = 1_000_000


def pack_demand(needs: list[DemandNotice]) -> bytes:
    """Encode needs."""
    return msgspec.msgpack.encode(needs)


def unpack_demand(data: bytes) -> list[DemandNotice]:
    """Decode needs.

    :raises ValueError: when the bytes are none, or say what cannot be.
    """
    try:
        needs = decode_msgpack(data, list[DemandNotice])
    except UnreadableBytesError as error:
        raise ValueError(error.message) from error
    for need in needs:
        CompletionLikelihood(need.likelihood)
        if not 0 <= need.waiting_count <= COUNT_LIMIT or not math.isfinite(need.start_in_ms):
            raise ValueError(f'a need of {need.waiting_count} items in {need.start_in_ms} ms')
    return needs
