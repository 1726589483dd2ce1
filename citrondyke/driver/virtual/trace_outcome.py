"""What a run of a trace came to."""

from __future__ import annotations

import msgspec

__all__ = ('JobOutcome', 'TraceOutcome')


class JobOutcome(msgspec.Struct, frozen=True):
    """How a job of the trace ended."""

    state: str
    succeeded: int
    failed: int
    is_on_time: bool


class TraceOutcome(msgspec.Struct, kw_only=True):
    """What a run of a trace came to; the same trace always gives the same."""

    chats: dict[str, int]
    #: Chats whose first token came within their class's target.
    chats_in_time: int
    orders: dict[str, int]
    #: The most times that any one order ran.
    order_runs_most: int
    jobs: dict[str, JobOutcome]
