"""One item while an instance holds its segment."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.ids import RequestId

__all__ = ('BatchItem',)


class BatchItem(msgspec.Struct, eq=False):
    """A line of a job, and how far it is."""

    position: int
    request_id: RequestId
    custom_id: str
    method: str
    url: str
    body: bytes
    is_model: bool
    #: Attempts that failed so far, by any holder.
    attempts: int = 0
    #: Frames of the answer so far; a cut stream goes on behind them.
    frames: list[bytes] = msgspec.field(default_factory=list)
    #: Firing it cuts the attempt that is running.
    cancel: Signal[Any] = msgspec.field(default_factory=Signal)
    is_running: bool = False
    #: Whether a backend server may have run it, in this holder's time.
    may_have_run: bool = False
