"""Knows a datagram that was taken before."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId

__all__ = ('ReplayWindow',)

#: Numbers behind the highest one that may still arrive late.
WINDOW_SIZE = 128
SENDERS_LIMIT = 4096


class _SenderState(msgspec.Struct):
    epoch: int
    highest: int
    #: Bit ``n`` stands for the number ``highest - n``.
    bits: int


class ReplayWindow:
    """Takes each number of each sender's life once, in about any order."""

    def __init__(self) -> None:
        """Start having seen nothing."""
        self._seen: OrderedDict[InstanceId, _SenderState] = OrderedDict()

    def accept(self, sender: InstanceId, epoch: int, number: int) -> bool:
        """Tell whether a datagram is new; a replayed one could bring an old load or state back."""
        seen = self._seen.get(sender)
        if seen is None or epoch > seen.epoch:
            self._seen[sender] = _SenderState(epoch, number, 1)
            self._seen.move_to_end(sender)
            if len(self._seen) > SENDERS_LIMIT:
                self._seen.popitem(last=False)
            return True
        if epoch < seen.epoch:
            return False
        if number > seen.highest:
            shift = number - seen.highest
            seen.bits = (
                ((seen.bits << shift) | 1) & ((1 << WINDOW_SIZE) - 1) if shift < WINDOW_SIZE else 1
            )
            seen.highest = number
            return True
        offset = seen.highest - number
        if offset >= WINDOW_SIZE or seen.bits >> offset & 1:
            return False
        seen.bits |= 1 << offset
        return True
