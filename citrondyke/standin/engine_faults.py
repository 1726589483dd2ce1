"""The faults that an engine's or a service's stand-in can be told to show."""

from __future__ import annotations

import msgspec

__all__ = ('BackendFaults',)


class BackendFaults(msgspec.Struct):
    """What goes wrong with the next requests; counts run down to 0."""

    #: Cut so many streams, each after ``cut_after_tokens`` tokens.
    cut_streams_left: int = 0
    cut_after_tokens: int = 0
    #: Take so many requests, run them, and cut before the first byte of the answer.
    cut_before_answer_left: int = 0
    #: Refuse so many requests with 503 before running them.
    refuse_left: int = 0
    #: Each step or run takes so much longer.
    slow_ms: float = 0.0
    #: The load report says this instead of the truth; negative is the truth.
    lie_running: int = -1
    #: The load report says that the server is leaving.
    is_leaving: bool = False
    #: A prompt with the crash mark ends the process.
    crash_exits: bool = False
