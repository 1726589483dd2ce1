"""Detection of replayed datagrams."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId

__all__ = ('ReplayWindow',)

#: Distance from the highest received number within which late datagrams are still accepted.
WINDOW_SIZE = 128
SENDERS_LIMIT = 4096


class _SenderState(msgspec.Struct):
    epoch: int
    highest: int
    #: Bit ``n`` is set if the number ``highest - n`` was received.
    received_bits: int


class ReplayWindow:
    """Accepts each number of each sender's incarnation once; numbers may arrive out of order."""

    def __init__(self) -> None:
        """Start without received numbers."""
        self._senders: OrderedDict[InstanceId, _SenderState] = OrderedDict()

    def accept(self, sender: InstanceId, epoch: int, number: int) -> bool:
        """Record a datagram; return whether it is new.

        A replayed datagram would restore a stale load or state.
        """
        state = self._senders.get(sender)
        if state is None or epoch > state.epoch:
            self._senders[sender] = _SenderState(epoch, number, 1)
            self._senders.move_to_end(sender)
            if len(self._senders) > SENDERS_LIMIT:
                self._senders.popitem(last=False)
            return True
        if epoch < state.epoch:
            return False
        if number > state.highest:
            shift = number - state.highest
            state.received_bits = (
                ((state.received_bits << shift) | 1) & ((1 << WINDOW_SIZE) - 1)
                if shift < WINDOW_SIZE
                else 1
            )
            state.highest = number
            return True
        offset = state.highest - number
        if offset >= WINDOW_SIZE or state.received_bits >> offset & 1:
            return False
        state.received_bits |= 1 << offset
        return True
