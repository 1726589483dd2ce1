"""One item of a segment that this instance holds."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.crashes.chat_parts import body_prompt_parts
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.ids import RequestId, SoftwareVersion

__all__ = ('BatchItem',)


class BatchItem(msgspec.Struct, eq=False):
    """A line of a job file and its progress."""

    position: int
    request_id: RequestId
    custom_id: str
    method: str
    url: str
    body: bytes
    is_model: bool
    #: Failed attempts so far, by all holders.
    attempts: int = 0
    #: SSE events of the answer so far; an aborted stream resumes after them.
    frames: list[bytes] = msgspec.field(default_factory=list)
    #: Software version of the server that sent them; ``None`` without frames or if not stated.
    software_version: SoftwareVersion | None = None
    #: Aborts the running attempt when fired.
    cancel: Signal[Any] = msgspec.field(default_factory=Signal)
    is_running: bool = False
    #: Whether a backend server may have run it for this holder.
    may_have_run: bool = False
    _keys: RequestKeys | None = None

    @property
    def keys(self) -> RequestKeys:
        """Return what it has in common with other requests."""
        if self._keys is None:
            parts = body_prompt_parts(self.body) if self.is_model else ()
            self._keys = RequestKeys(self.method.encode(), '', self.url.encode(), self.body, parts)
        return self._keys
