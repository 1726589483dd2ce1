"""Encoding of the batch items that wait for capacity at an instance."""

from __future__ import annotations

import math

import msgspec

from citrondyke.decisions.batch.batch_demand import CompletionLikelihood, DemandNotice
from citrondyke.errors.unreadable_bytes import UnreadableBytesError
from citrondyke.util.decoding import decode_msgpack

__all__ = ('pack_demand', 'unpack_demand')

#: More than all servers of a list can run at once.
COUNT_LIMIT = 1_000_000


def pack_demand(notices: list[DemandNotice]) -> bytes:
    """Encode notices of batch demand."""
    return msgspec.msgpack.encode(notices)


def unpack_demand(data: bytes) -> list[DemandNotice]:
    """Decode notices of batch demand.

    :raises ValueError: if the data is malformed or a value is out of range.
    """
    try:
        notices = decode_msgpack(data, list[DemandNotice])
    except UnreadableBytesError as error:
        raise ValueError(error.message) from error
    for notice in notices:
        CompletionLikelihood(notice.likelihood)
        if not 0 <= notice.waiting_count <= COUNT_LIMIT or not math.isfinite(notice.start_in_ms):
            raise ValueError(
                f'out of range: {notice.waiting_count} items in {notice.start_in_ms} ms'
            )
    return notices
