"""The platform in virtual time, with injectable faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sortedcontainers import SortedDict

from citrondyke.decisions.core import ops
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.standin.faults import FaultMode, FaultSwitch
from citrondyke.standin.lagging_lists import LaggingLists
from citrondyke.standin.table import Table
from citrondyke.storage.failure import AMBIGUOUS, MISSING, UNAVAILABLE

__all__ = ('VirtualPlatform',)

#: Timeout of the calls of an instance to the platform.
TIMEOUT_MS = 1500.0


class VirtualPlatform:
    """Table service, object store and lists; a call takes effect one latency after it is sent."""

    def __init__(self, time: VirtualTime, one_way_ms: float) -> None:
        """Create an empty platform.

        :param one_way_ms: latency in each direction, which includes the time of the service itself.
        """
        self.table = Table()
        self.lists = LaggingLists()
        self.objects: SortedDict = SortedDict()
        self.table_fault = FaultSwitch()
        self.objects_fault = FaultSwitch()
        self._time = time
        self._one_way_ms = one_way_ms

    def perform(self, op: ops.Op, answer: Callable[[Any], None]) -> bool:
        """Carry out an operation; return ``False`` if it is not one of the platform."""
        match op:
            case ops.Transact():
                self._call(self.table_fault, lambda: self.table.transact(op.transaction), answer)
            case ops.ReadRows():
                self._call(self.table_fault, lambda: self._read(op), answer)
            case ops.ScanRows():
                self._call(
                    self.table_fault,
                    lambda: self.table.scan(op.prefix, op.after, op.limit),
                    answer,
                )
            case ops.PutObject():
                self._call(self.objects_fault, lambda: self._put(op), answer)
            case ops.GetObject():
                self._call(self.objects_fault, lambda: self.objects.get(op.key, MISSING), answer)
            case ops.ListObjects():
                self._call(self.objects_fault, lambda: self._list(op.prefix), answer)
            case ops.ReadLists():
                self._call(FaultSwitch(), lambda: self.lists.at(self._time.now_ms()), answer)
            case _:
                return False
        return True

    def _call(
        self, fault: FaultSwitch, action: Callable[[], Any], answer: Callable[[Any], None]
    ) -> None:
        def arrive() -> None:
            mode = fault.take()
            if mode is FaultMode.DOWN:
                self._time.after(self._one_way_ms, lambda: answer(UNAVAILABLE))
                return
            if mode is FaultMode.HANG:
                self._time.after(TIMEOUT_MS, lambda: answer(AMBIGUOUS))
                return
            result = action()
            if mode is FaultMode.LOST_REPLY:
                self._time.after(self._one_way_ms, lambda: answer(AMBIGUOUS))
                return
            delay_ms = fault.delay_ms if mode is FaultMode.SLOW else 0.0
            self._time.after(self._one_way_ms + delay_ms, lambda: answer(result))

        self._time.after(self._one_way_ms, arrive)

    def _read(self, op: ops.ReadRows) -> dict[Any, Any]:
        return {row.key: row for row in self.table.read(op.keys)}

    def _list(self, prefix: str) -> list[Any]:
        return [key for key in self.objects if key.startswith(prefix)]

    def _put(self, op: ops.PutObject) -> None:
        self.objects[op.key] = op.body
