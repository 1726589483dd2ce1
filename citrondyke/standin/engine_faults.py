"""Faults that can be injected into the stand-in of an engine or a service."""

from __future__ import annotations

import msgspec

__all__ = ('BackendFaults',)


class BackendFaults(msgspec.Struct):
    """Faults of the next requests; fields named ``*_left`` count down to 0."""

    #: Number of streams to abort, each after ``cut_after_tokens`` tokens.
    cut_streams_left: int = 0
    cut_after_tokens: int = 0
    #: Number of requests to run and then abort before the first byte of the answer.
    cut_before_answer_left: int = 0
    #: Number of requests to reject with 503 without running them.
    refuse_left: int = 0
    #: Added duration of each step or run.
    slow_ms: float = 0.0
    #: Number of running streams to report instead of the real one; negative for the real one.
    lie_running: int = -1
    #: Report that the server is leaving.
    is_leaving: bool = False
    #: Exit the process on a prompt with the crash mark, instead of only losing all streams.
    crash_exits: bool = False
